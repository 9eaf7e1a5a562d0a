package org.sassafraslink.daemon.connection;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.Headers;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.failure.FailureType;
import org.sassafraslink.api.model.FleetConfig.AnswerCheck;
import org.sassafraslink.daemon.request.AttemptOutcome;
import org.sassafraslink.daemon.request.BackendClient;
import org.sassafraslink.daemon.request.CallResult.Answered;
import org.sassafraslink.daemon.request.CallResult.Header;
import org.sassafraslink.daemon.request.PendingCall;

/**
 * Sends requests to backend servers over HTTP and accepts only complete answers.
 *
 * <p>Each attempt is sent at most once: retries and redirects of the HTTP client are turned off,
 * and {@link SingleSendInterceptor} rejects any other repetition.
 */
public final class HttpBackendClient implements BackendClient {
  /**
   * Lower-case names of headers that apply to one connection only or that are set here or by the
   * HTTP client. They are forwarded neither to the backend server nor to the caller.
   */
  private static final ImmutableSet<String> CONNECTION_HEADERS =
      ImmutableSet.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "host",
          "content-length",
          "expect",
          "accept-encoding");

  /** Lower-case names of headers that contain a secret: the team's key. */
  private static final ImmutableSet<String> SECRET_HEADERS = ImmutableSet.of("sassafras-key");

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final int MAX_IDLE_CONNECTIONS = 512;
  private static final int MAX_CONCURRENT_REQUESTS = 4_096;
  private static final long IDLE_CONNECTION_SECONDS = 30;

  /** The highest valid status code of HTTP. An answer with a higher one is a failed attempt. */
  private static final int MAX_STATUS = 599;

  /** Reuses idle connections. */
  private final OkHttpClient pooledClient;

  /** Opens a new connection for each request. */
  private final OkHttpClient freshConnectionClient;

  private final long maxAnswerBytes;

  private HttpBackendClient(long maxAnswerBytes) {
    this.maxAnswerBytes = maxAnswerBytes;
    Dispatcher dispatcher = new Dispatcher();
    dispatcher.setMaxRequests(MAX_CONCURRENT_REQUESTS);
    dispatcher.setMaxRequestsPerHost(MAX_CONCURRENT_REQUESTS);
    this.pooledClient =
        new OkHttpClient.Builder()
            .dispatcher(dispatcher)
            .protocols(ImmutableList.of(Protocol.HTTP_1_1))
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .followSslRedirects(false)
            .connectTimeout(CONNECT_TIMEOUT)
            .connectionPool(
                new ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_CONNECTION_SECONDS, TimeUnit.SECONDS))
            .addNetworkInterceptor(new SingleSendInterceptor())
            .build();
    this.freshConnectionClient =
        pooledClient
            .newBuilder()
            .connectionPool(new ConnectionPool(0, IDLE_CONNECTION_SECONDS, TimeUnit.SECONDS))
            .build();
  }

  /**
   * Creates a client.
   *
   * @param maxAnswerBytes largest body of an answer; a larger one is reported as {@link
   *     FailureType#ANSWER_TOO_LARGE}
   */
  public static HttpBackendClient create(long maxAnswerBytes) {
    return new HttpBackendClient(maxAnswerBytes);
  }

  @Override
  public void send(PendingCall call, Target target, Consumer<AttemptOutcome> onEnd) {
    OkHttpClient client =
        target.answerCheck() == AnswerCheck.ECHO ? pooledClient : freshConnectionClient;
    Call httpCall = client.newCall(createRequest(call, target));
    httpCall.timeout().timeout(target.timeoutMillis(), TimeUnit.MILLISECONDS);
    httpCall.enqueue(
        new Callback() {
          @Override
          public void onFailure(Call failedCall, IOException e) {
            onEnd.accept(new AttemptOutcome.Failed(e.getClass().getSimpleName()));
          }

          @Override
          public void onResponse(Call answeredCall, Response response) {
            onEnd.accept(readAnswer(response));
          }
        });
  }

  private Request createRequest(PendingCall call, Target target) {
    PendingCall.Request callerRequest = call.request();
    String attemptId = callerRequest.id() + "-" + call.attempts();
    HttpUrl url =
        HttpUrl.get(
            "http://" + target.address() + ":" + target.port() + callerRequest.pathAndQuery());
    Request.Builder request =
        new Request.Builder()
            .url(url)
            .tag(
                SingleSendInterceptor.Attempt.class,
                new SingleSendInterceptor.Attempt(call, attemptId, target.answerCheck()));
    for (Header header : callerRequest.headers()) {
      if (isForwarded(header.name())) {
        request.addHeader(header.name(), header.value());
      }
    }
    request.header(SingleSendInterceptor.ATTEMPT_ID_HEADER, attemptId);
    // Without this header, OkHttp would request a compressed answer and decompress it.
    request.header("Accept-Encoding", "identity");
    if (target.answerCheck() == AnswerCheck.FRESH_CONNECTION) {
      request.header("Connection", "close");
    }
    return request.method(callerRequest.method(), createBody(callerRequest)).build();
  }

  private static RequestBody createBody(PendingCall.Request callerRequest) {
    boolean mayHaveBody =
        !callerRequest.method().equals("GET") && !callerRequest.method().equals("HEAD");
    return mayHaveBody ? RequestBody.create(callerRequest.body(), null) : null;
  }

  private static boolean isForwarded(String headerName) {
    String lowerCaseName = headerName.toLowerCase(Locale.ROOT);
    return !CONNECTION_HEADERS.contains(lowerCaseName) && !SECRET_HEADERS.contains(lowerCaseName);
  }

  /** Reads the body of an answer and decides whether the answer may be returned to the caller. */
  private AttemptOutcome readAnswer(Response response) {
    try (response) {
      BufferedSource source = response.body().source();
      if (source.request(maxAnswerBytes + 1)) {
        return new AttemptOutcome.UnusableAnswer(
            Failure.of(
                FailureType.ANSWER_TOO_LARGE,
                "The answer of the backend server is larger than allowed."));
      }
      byte[] body = source.readByteArray();
      if (response.code() > MAX_STATUS) {
        return new AttemptOutcome.Failed("status " + response.code());
      }
      return new AttemptOutcome.Completed(
          new Answered(response.code(), toForwardedHeaders(response.headers()), body));
    } catch (IOException e) {
      return new AttemptOutcome.Failed(e.getClass().getSimpleName());
    }
  }

  /**
   * Returns the headers that are passed on to the caller, and restores the name of the {@code
   * Retry-After} header.
   */
  private static ImmutableList<Header> toForwardedHeaders(Headers headers) {
    ImmutableList.Builder<Header> result = ImmutableList.builder();
    for (int i = 0; i < headers.size(); i++) {
      String name = headers.name(i);
      if (name.equals(SingleSendInterceptor.RENAMED_RETRY_AFTER_HEADER)) {
        result.add(new Header("Retry-After", headers.value(i)));
      } else if (isForwarded(name)
          && !name.equalsIgnoreCase(SingleSendInterceptor.ATTEMPT_ID_HEADER)) {
        result.add(new Header(name, headers.value(i)));
      }
    }
    return result.build();
  }
}
