package org.sassafraslink.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.sassafraslink.api.Json;
import org.sassafraslink.api.failure.Problem;

/**
 * Calls the HTTP API of a daemon with the key of an operator or a team.
 *
 * <p>A call returns the JSON body of a successful answer. Otherwise it returns a failure: the
 * problem that the daemon reported, or {@link ExitCode#UNREACHABLE} if there was no answer in time
 * or its body was not JSON, or was an error in another format than {@link Problem}.
 */
final class DaemonClient {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);
  private static final MediaType JSON = MediaType.get("application/json");
  private static final int MIN_ERROR_STATUS = 400;

  private final String baseUrl;
  private final String keyHeader;
  private final String keyHeaderValue;
  private final OkHttpClient client =
      new OkHttpClient.Builder().retryOnConnectionFailure(false).callTimeout(CALL_TIMEOUT).build();

  private DaemonClient(String baseUrl, String keyHeader, String keyHeaderValue) {
    this.baseUrl = baseUrl;
    this.keyHeader = keyHeader;
    this.keyHeaderValue = keyHeaderValue;
  }

  /** Returns a client of the administration API, which requires the key of an operator. */
  static DaemonClient forOperator(String baseUrl, String operatorKey) {
    return new DaemonClient(baseUrl, "Authorization", "Bearer " + operatorKey);
  }

  /** Returns a client of the job API, which requires the key of a team. */
  static DaemonClient forTeam(String baseUrl, String teamKey) {
    return new DaemonClient(baseUrl, "Sassafras-Key", teamKey);
  }

  Either<CommandFailure, JsonNode> get(String path) {
    return call(requestBuilder(path).build());
  }

  Either<CommandFailure, JsonNode> delete(String path) {
    return call(requestBuilder(path).delete().build());
  }

  Either<CommandFailure, JsonNode> post(String path, Object body) {
    return call(requestBuilder(path).post(RequestBody.create(Json.write(body), JSON)).build());
  }

  private Request.Builder requestBuilder(String path) {
    return new Request.Builder().url(baseUrl + path).header(keyHeader, keyHeaderValue);
  }

  private Either<CommandFailure, JsonNode> call(Request request) {
    try (Response response = client.newCall(request).execute()) {
      JsonNode node = Json.mapper().readTree(response.body().string());
      return response.code() < MIN_ERROR_STATUS
          ? Either.right(node)
          : Either.left(CommandFailure.of(Json.mapper().treeToValue(node, Problem.class)));
    } catch (JsonProcessingException e) {
      return Either.left(
          CommandFailure.of(
              ExitCode.UNREACHABLE,
              baseUrl + " returned an answer that is not from a sassafraslink daemon."));
    } catch (IOException e) {
      return Either.left(
          CommandFailure.of(ExitCode.UNREACHABLE, baseUrl + " did not answer: " + e.getMessage()));
    }
  }
}
