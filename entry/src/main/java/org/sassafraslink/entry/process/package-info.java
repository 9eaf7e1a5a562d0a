/** What lives as long as the process. */
package org.sassafraslink.entry.process;
