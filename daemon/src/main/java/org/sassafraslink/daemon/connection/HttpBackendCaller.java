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
import org.sassafraslink.daemon.request.BackendCaller;
import org.sassafraslink.daemon.request.CallResult.Answered;
import org.sassafraslink.daemon.request.CallResult.Header;
import org.sassafraslink.daemon.request.ExchangeOutcome;
import org.sassafraslink.daemon.request.PendingCall;

/** Sends attempts to backend servers over HTTP and takes whole answers only. */
public final class HttpBackendCaller implements BackendCaller {
  private static final ImmutableSet<String> HOP_BY_HOP =
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

  /** Headers that must not travel further: the caller's key. */
  private static final ImmutableSet<String> PRIVATE = ImmutableSet.of("sassafras-key");

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final int MAX_IDLE_CONNECTIONS = 512;
  private static final int MAX_REQUESTS = 4_096;
  private static final long IDLE_SECONDS = 30;
  private static final int KNOWN_STATUS_MAX = 599;

  private final OkHttpClient pooled;
  private final OkHttpClient fresh;
  private final long maxAnswerBytes;

  private HttpBackendCaller(long maxAnswerBytes) {
    this.maxAnswerBytes = maxAnswerBytes;
    Dispatcher dispatcher = new Dispatcher();
    dispatcher.setMaxRequests(MAX_REQUESTS);
    dispatcher.setMaxRequestsPerHost(MAX_REQUESTS);
    this.pooled =
        new OkHttpClient.Builder()
            .dispatcher(dispatcher)
            .protocols(ImmutableList.of(Protocol.HTTP_1_1))
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .followSslRedirects(false)
            .connectTimeout(CONNECT_TIMEOUT)
            .connectionPool(
                new ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_SECONDS, TimeUnit.SECONDS))
            .addNetworkInterceptor(new SingleSend())
            .build();
    this.fresh =
        pooled
            .newBuilder()
            .connectionPool(new ConnectionPool(0, IDLE_SECONDS, TimeUnit.SECONDS))
            .build();
  }

  /** Creates a caller that refuses answers above {@code maxAnswerBytes}. */
  public static HttpBackendCaller create(long maxAnswerBytes) {
    return new HttpBackendCaller(maxAnswerBytes);
  }

  @Override
  public void send(PendingCall call, Target target, Consumer<ExchangeOutcome> onEnd) {
    OkHttpClient client = target.answerCheck() == AnswerCheck.ECHO ? pooled : fresh;
    Call exchange = client.newCall(request(call, target));
    exchange.timeout().timeout(target.timeoutMillis(), TimeUnit.MILLISECONDS);
    exchange.enqueue(
        new Callback() {
          @Override
          public void onFailure(Call failed, IOException e) {
            onEnd.accept(new ExchangeOutcome.Broken(e.getClass().getSimpleName()));
          }

          @Override
          public void onResponse(Call answered, Response response) {
            onEnd.accept(read(response));
          }
        });
  }

  private Request request(PendingCall call, Target target) {
    PendingCall.Request source = call.request();
    String id = source.id() + "-" + call.attempts();
    HttpUrl url =
        HttpUrl.get("http://" + target.address() + ":" + target.port() + source.pathAndQuery());
    Request.Builder request =
        new Request.Builder()
            .url(url)
            .tag(SingleSend.Attempt.class, new SingleSend.Attempt(call, id, target.answerCheck()));
    for (Header header : source.headers()) {
      if (isForwarded(header.name())) {
        request.addHeader(header.name(), header.value());
      }
    }
    request.header(SingleSend.ID_HEADER, id);
    // Without this the client would ask for compression and unpack the answer by itself.
    request.header("Accept-Encoding", "identity");
    if (target.answerCheck() == AnswerCheck.FRESH_CONNECTION) {
      request.header("Connection", "close");
    }
    return request.method(source.method(), body(source)).build();
  }

  private static RequestBody body(PendingCall.Request source) {
    boolean mayHaveBody = !source.method().equals("GET") && !source.method().equals("HEAD");
    return mayHaveBody ? RequestBody.create(source.body(), null) : null;
  }

  private static boolean isForwarded(String name) {
    String lower = name.toLowerCase(Locale.ROOT);
    return !HOP_BY_HOP.contains(lower) && !PRIVATE.contains(lower);
  }

  private ExchangeOutcome read(Response response) {
    try (response) {
      BufferedSource source = response.body().source();
      if (source.request(maxAnswerBytes + 1)) {
        return new ExchangeOutcome.Unusable(
            Failure.of(FailureType.ANSWER_TOO_LARGE, "The answer is larger than allowed."));
      }
      byte[] body = source.readByteArray();
      if (response.code() > KNOWN_STATUS_MAX) {
        return new ExchangeOutcome.Broken("status " + response.code());
      }
      return new ExchangeOutcome.Whole(
          new Answered(response.code(), headers(response.headers()), body));
    } catch (IOException e) {
      return new ExchangeOutcome.Broken(e.getClass().getSimpleName());
    }
  }

  private static ImmutableList<Header> headers(Headers headers) {
    ImmutableList.Builder<Header> result = ImmutableList.builder();
    for (int i = 0; i < headers.size(); i++) {
      String name = headers.name(i);
      if (name.equals(SingleSend.KEPT_RETRY_AFTER)) {
        result.add(new Header("Retry-After", headers.value(i)));
      } else if (isForwarded(name) && !name.equalsIgnoreCase(SingleSend.ID_HEADER)) {
        result.add(new Header(name, headers.value(i)));
      }
    }
    return result.build();
  }
}
