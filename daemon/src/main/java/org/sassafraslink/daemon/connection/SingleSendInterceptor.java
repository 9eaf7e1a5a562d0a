package org.sassafraslink.daemon.connection;

import java.io.IOException;
import okhttp3.Interceptor;
import okhttp3.Response;
import org.sassafraslink.api.model.FleetConfig.AnswerCheck;
import org.sassafraslink.daemon.request.PendingCall;
import org.sassafraslink.rules.request.RequestState;

/**
 * Ensures that the HTTP client sends each request at most once, and checks that an answer belongs
 * to its request.
 *
 * <p>Even with retries on connection failures turned off, OkHttp repeats a request that is answered
 * with status 503 and {@code Retry-After: 0}. This interceptor therefore renames the {@code
 * Retry-After} header of each answer, and {@link HttpBackendClient} restores its name. Any other
 * attempt of OkHttp to send a request again fails with {@link RepeatedSendException}.
 */
final class SingleSendInterceptor implements Interceptor {
  /** The name that a {@code Retry-After} header has while OkHttp processes the answer. */
  static final String RENAMED_RETRY_AFTER_HEADER = "Sassafras-Kept-Retry-After";

  /** The header with the id of an attempt; the backend server copies it into its answer. */
  static final String ATTEMPT_ID_HEADER = "Sassafras-Request-Id";

  private static final String RETRY_AFTER_HEADER = "Retry-After";

  /**
   * The attempt to send a call for which an HTTP request is made. It is attached to the HTTP
   * request as a tag.
   */
  static final class Attempt {
    private final PendingCall call;
    private final String attemptId;
    private final AnswerCheck answerCheck;
    private boolean sent;

    Attempt(PendingCall call, String attemptId, AnswerCheck answerCheck) {
      this.call = call;
      this.attemptId = attemptId;
      this.answerCheck = answerCheck;
    }

    String attemptId() {
      return attemptId;
    }
  }

  /** Reports an answer whose attempt id is missing or is not that of the request. */
  static final class AnswerMismatchException extends IOException {
    private static final long serialVersionUID = 1L;

    AnswerMismatchException() {
      super("the answer does not have the attempt id of the request");
    }
  }

  /** Reports that the HTTP client tried to send a request again. */
  static final class RepeatedSendException extends IOException {
    private static final long serialVersionUID = 1L;

    RepeatedSendException() {
      super("the HTTP client tried to send the request again");
    }
  }

  @Override
  public Response intercept(Chain chain) throws IOException {
    Attempt attempt = chain.request().tag(Attempt.class);
    if (attempt.sent) {
      throw new RepeatedSendException();
    }
    attempt.sent = true;
    attempt.call.changeState(RequestState.SENDING);
    Response response = chain.proceed(chain.request());
    boolean isMismatch =
        attempt.answerCheck == AnswerCheck.ECHO
            && !attempt.attemptId.equals(response.header(ATTEMPT_ID_HEADER));
    if (isMismatch) {
      // Answers on this connection do not match their requests, so it must not be reused.
      chain.connection().socket().close();
      throw new AnswerMismatchException();
    }
    String retryAfter = response.header(RETRY_AFTER_HEADER);
    return retryAfter == null
        ? response
        : response
            .newBuilder()
            .removeHeader(RETRY_AFTER_HEADER)
            .header(RENAMED_RETRY_AFTER_HEADER, retryAfter)
            .build();
  }
}
