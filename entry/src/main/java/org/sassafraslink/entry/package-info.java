/** The daemon that runs on each entry VM of the users' platform. */
package org.sassafraslink.entry;
