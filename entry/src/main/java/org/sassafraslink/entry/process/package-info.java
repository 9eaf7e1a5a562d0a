/** The objects and threads that exist once per process, and its logging and metrics. */
package org.sassafraslink.entry.process;
