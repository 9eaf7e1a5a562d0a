/** The daemon {@code sassafraslink-entry}, which runs on each entry VM of the users' platform. */
package org.sassafraslink.entry;
