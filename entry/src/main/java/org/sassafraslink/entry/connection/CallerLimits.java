package org.sassafraslink.entry.connection;

/**
 * Bounds on what a process holds for its callers.
 *
 * @param maxHeldBytes most bytes that are held for requests and responses on all connections
 * @param maxConnections most open connections
 * @param receiveTimeoutMillis longest time from the first to the last byte of a request, in ms
 * @param stallTimeoutMillis longest time without a further byte of a request that has begun, in ms
 * @param responseTimeoutMillis longest time that a caller may take to receive a response, in ms
 * @param socketBufferBytes size of the operating system's receive and send buffer of a connection
 */
public record CallerLimits(
    long maxHeldBytes,
    int maxConnections,
    long receiveTimeoutMillis,
    long stallTimeoutMillis,
    long responseTimeoutMillis,
    int socketBufferBytes) {}
