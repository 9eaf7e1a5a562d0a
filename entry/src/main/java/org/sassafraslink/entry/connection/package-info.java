/** What lives as long as a connection. */
package org.sassafraslink.entry.connection;
