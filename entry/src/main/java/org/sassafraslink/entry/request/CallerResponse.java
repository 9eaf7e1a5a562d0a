package org.sassafraslink.entry.request;

import org.sassafraslink.api.failure.Failure;

/**
 * A response to a caller's HTTP request.
 *
 * @param status the HTTP status code
 * @param body JSON text; empty for no body
 * @param retryAfterSeconds value of the header {@code Retry-After}; 0 to omit the header
 */
public record CallerResponse(int status, String body, int retryAfterSeconds) {
  private static final int OK = 200;
  private static final int GONE = 410;

  /** Returns whether the request succeeded. */
  boolean isSuccess() {
    return status == OK;
  }

  /** Returns a successful response without a body. */
  public static CallerResponse ok() {
    return new CallerResponse(OK, "", 0);
  }

  /** Returns a successful response with a body. */
  public static CallerResponse ok(String body) {
    return new CallerResponse(OK, body, 0);
  }

  /** Returns the response for a job that does not exist or, for a cancellation, has ended. */
  public static CallerResponse jobNotFound() {
    return new CallerResponse(GONE, "", 0);
  }

  /** Returns a response with a failure as problem details. */
  public static CallerResponse failed(Failure failure) {
    return new CallerResponse(failure.type().httpStatus(), ProblemBody.toJson(failure), 0);
  }

  /** Returns a response with a failure after which the caller may retry. */
  public static CallerResponse failed(Failure failure, int retryAfterSeconds) {
    return new CallerResponse(
        failure.type().httpStatus(), ProblemBody.toJson(failure), retryAfterSeconds);
  }
}
