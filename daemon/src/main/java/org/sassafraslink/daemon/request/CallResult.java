package org.sassafraslink.daemon.request;

import com.google.common.collect.ImmutableList;
import org.sassafraslink.api.failure.Failure;

/** What a caller gets: the whole answer of a backend server, or a typed failure. */
public sealed interface CallResult {
  /** A header line. */
  record Header(String name, String value) {}

  /** A whole answer. */
  @SuppressWarnings("ArrayRecordComponent") // The body is handed on once and never compared.
  record Answered(int status, ImmutableList<Header> headers, byte[] body) implements CallResult {}

  /** A failure; its type says whether the request certainly did not run. */
  record Failed(Failure failure) implements CallResult {}
}
