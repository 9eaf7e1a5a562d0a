package org.sassafraslink.entry.connection;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import org.sassafraslink.api.failure.Failure;

/**
 * A request that was read whole, or the failure that ended its receipt.
 *
 * @param head the request line and the headers
 * @param body the body as text
 * @param bodyBytes the size of the body
 * @param failure why the request could not be read; nothing after it on the connection can be read
 * @param heldBytes bytes that are held until the request begins
 */
record ReceivedRequest(
    HttpRequest head, String body, int bodyBytes, Optional<Failure> failure, long heldBytes) {}
