/**
 * HTTP servers for callers, readiness checks and metrics, and the handling of their connections.
 */
package org.sassafraslink.entry.connection;
