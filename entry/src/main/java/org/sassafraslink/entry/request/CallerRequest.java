package org.sassafraslink.entry.request;

/**
 * A whole request of a caller.
 *
 * @param host the host it names, without a port
 * @param path its path, without a query
 * @param key the key that came with it; empty if none
 * @param deadlineMillis until when the caller waits, monotonic ms
 */
public record CallerRequest(
    String method, String host, String path, String key, String body, long deadlineMillis) {}
