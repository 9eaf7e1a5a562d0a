/**
 * The network connections of an entry daemon: HTTP servers for callers and operators, the HTTP
 * client for backend servers, and the exchange of messages with the other daemons.
 */
package org.sassafraslink.daemon.connection;
