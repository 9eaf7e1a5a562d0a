package org.sassafraslink.daemon.connection;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.sassafraslink.daemon.request.CallResult.Header;

/** A whole request as a caller sent it. */
@SuppressWarnings("ArrayRecordComponent") // The body is handed on once and never compared.
record IncomingRequest(String method, String uri, ImmutableList<Header> headers, byte[] body) {
  /** The value of the first header with {@code name}, in any case. */
  Optional<String> header(String name) {
    return headers.stream()
        .filter(header -> header.name().equalsIgnoreCase(name))
        .map(Header::value)
        .findFirst();
  }
}
