package org.sassafraslink.entry.request;

/**
 * A complete HTTP request of a caller.
 *
 * @param method the HTTP method
 * @param host the value of the header {@code Host}, without a port
 * @param path the path without the query
 * @param key the team's key from the header {@code Authorization}; empty if there is none
 * @param body the body as text; empty if there is none
 * @param deadlineMillis time until which the caller waits for the response, monotonic ms
 */
public record CallerRequest(
    String method, String host, String path, String key, String body, long deadlineMillis) {}
