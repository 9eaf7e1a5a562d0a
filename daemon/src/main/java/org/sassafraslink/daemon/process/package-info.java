/** What lives as long as a process. */
package org.sassafraslink.daemon.process;
