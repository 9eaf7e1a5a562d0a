/** What lives as long as a connection: callers, operators, backend servers and peers. */
package org.sassafraslink.daemon.connection;
