package org.sassafraslink.daemon.connection;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.sassafraslink.daemon.request.CallResult.Header;

/**
 * A complete HTTP request as received from a caller.
 *
 * @param uri the request target: the path with its query
 * @param headers all headers in the order received, repeated ones included
 */
@SuppressWarnings("ArrayRecordComponent") // The body is only passed on, never compared.
record IncomingRequest(String method, String uri, ImmutableList<Header> headers, byte[] body) {
  /**
   * Returns the value of the first header with {@code name}, whose case is ignored. Empty if there
   * is no such header.
   */
  Optional<String> header(String name) {
    return headers.stream()
        .filter(header -> header.name().equalsIgnoreCase(name))
        .map(Header::value)
        .findFirst();
  }
}
