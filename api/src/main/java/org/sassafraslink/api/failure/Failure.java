package org.sassafraslink.api.failure;

import static java.util.Objects.requireNonNull;

/** A failure with a stable type and a detail that is written for people. */
public record Failure(FailureType type, String detail) {
  public Failure {
    requireNonNull(type);
    requireNonNull(detail);
  }

  /** Creates a failure of {@code type}; {@code detail} is one sentence for people. */
  public static Failure of(FailureType type, String detail) {
    return new Failure(type, detail);
  }

  /** Returns the RFC 9457 problem that reports this failure. */
  public Problem toProblem() {
    return new Problem(
        type.urn(), type.slug().replace('-', ' '), type.httpStatus(), detail, type.notRun());
  }
}
