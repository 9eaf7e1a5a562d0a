package org.sassafraslink.daemon.request;

import com.google.common.collect.ImmutableList;
import org.sassafraslink.api.failure.Failure;

/** The result of a call: the complete answer of a backend server, or a typed failure. */
public sealed interface CallResult {
  /** A header field of an HTTP request or response. */
  record Header(String name, String value) {}

  /** The complete answer of a backend server. */
  @SuppressWarnings("ArrayRecordComponent") // The body is only passed on, never compared.
  record Answered(int status, ImmutableList<Header> headers, byte[] body) implements CallResult {}

  /** A failure, whose type says whether the request is known not to have run. */
  record Failed(Failure failure) implements CallResult {}
}
