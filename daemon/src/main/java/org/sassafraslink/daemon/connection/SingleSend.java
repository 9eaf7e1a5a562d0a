package org.sassafraslink.daemon.connection;

import java.io.IOException;
import okhttp3.Interceptor;
import okhttp3.Response;
import org.sassafraslink.api.model.FleetConfig.AnswerCheck;
import org.sassafraslink.daemon.request.PendingCall;
import org.sassafraslink.rules.request.RequestState;

/**
 * Sees each attempt that the HTTP client makes on the network and allows one.
 *
 * <p>With its retry on connection failure off, OkHttp still repeats a request by itself when it is
 * answered 503 with {@code Retry-After: 0}. The header is therefore renamed on the way in and
 * restored by the caller of the client; and a second attempt, from whatever cause, is refused.
 */
final class SingleSend implements Interceptor {
  /** The name under which a {@code Retry-After} header passes the client. */
  static final String KEPT_RETRY_AFTER = "Sassafras-Kept-Retry-After";

  /** The header that ties an answer to its request. */
  static final String ID_HEADER = "Sassafras-Request-Id";

  private static final String RETRY_AFTER = "Retry-After";

  /** The attempt for which a client call is made; a tag of its request. */
  static final class Attempt {
    private final PendingCall call;
    private final String id;
    private final AnswerCheck check;
    private boolean sent;

    Attempt(PendingCall call, String id, AnswerCheck check) {
      this.call = call;
      this.id = id;
      this.check = check;
    }

    String id() {
      return id;
    }
  }

  /** The answer's id is not the one of the request. */
  static final class ForeignAnswerException extends IOException {
    private static final long serialVersionUID = 1L;

    ForeignAnswerException() {
      super("answer of another request");
    }
  }

  /** The client tried to send a request again by itself. */
  static final class RepeatedSendException extends IOException {
    private static final long serialVersionUID = 1L;

    RepeatedSendException() {
      super("the client repeated a request");
    }
  }

  @Override
  public Response intercept(Chain chain) throws IOException {
    Attempt attempt = chain.request().tag(Attempt.class);
    if (attempt.sent) {
      throw new RepeatedSendException();
    }
    attempt.sent = true;
    attempt.call.become(RequestState.SENDING);
    Response response = chain.proceed(chain.request());
    boolean isForeign =
        attempt.check == AnswerCheck.ECHO && !attempt.id.equals(response.header(ID_HEADER));
    if (isForeign) {
      // The connection is out of step with its requests and must not be used again.
      chain.connection().socket().close();
      throw new ForeignAnswerException();
    }
    String retryAfter = response.header(RETRY_AFTER);
    return retryAfter == null
        ? response
        : response
            .newBuilder()
            .removeHeader(RETRY_AFTER)
            .header(KEPT_RETRY_AFTER, retryAfter)
            .build();
  }
}
