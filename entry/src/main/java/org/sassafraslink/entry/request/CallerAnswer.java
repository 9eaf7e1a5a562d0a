package org.sassafraslink.entry.request;

import org.sassafraslink.api.failure.Failure;

/**
 * An answer to a caller.
 *
 * @param body JSON text; empty for none
 * @param retryAfterSeconds when the caller may come again; 0 to say nothing
 */
public record CallerAnswer(int status, String body, int retryAfterSeconds) {
  private static final int OK = 200;
  private static final int GONE = 410;

  /** Whether the request was carried out. */
  boolean isSuccess() {
    return status == OK;
  }

  /** Success without a body. */
  public static CallerAnswer ok() {
    return new CallerAnswer(OK, "", 0);
  }

  /** Success with a body. */
  public static CallerAnswer ok(String body) {
    return new CallerAnswer(OK, body, 0);
  }

  /** There is no such job. */
  public static CallerAnswer noSuchJob() {
    return new CallerAnswer(GONE, "", 0);
  }

  /** A failure, as a problem. */
  public static CallerAnswer failed(Failure failure) {
    return new CallerAnswer(failure.type().httpStatus(), ProblemBody.of(failure), 0);
  }

  /** A failure after which the caller may come again in {@code seconds}. */
  public static CallerAnswer failed(Failure failure, int seconds) {
    return new CallerAnswer(failure.type().httpStatus(), ProblemBody.of(failure), seconds);
  }
}
