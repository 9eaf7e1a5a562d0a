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

/** Calls a daemon's HTTP API. */
final class HttpApi {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final MediaType JSON = MediaType.get("application/json");
  private static final int FIRST_ERROR = 400;

  private final String base;
  private final String headerName;
  private final String headerValue;
  private final OkHttpClient client =
      new OkHttpClient.Builder().retryOnConnectionFailure(false).callTimeout(TIMEOUT).build();

  private HttpApi(String base, String headerName, String headerValue) {
    this.base = base;
    this.headerName = headerName;
    this.headerValue = headerValue;
  }

  /** The administration API, for an operator. */
  static HttpApi admin(String base, String operatorKey) {
    return new HttpApi(base, "Authorization", "Bearer " + operatorKey);
  }

  /** The job API, for a team. */
  static HttpApi jobs(String base, String teamKey) {
    return new HttpApi(base, "Sassafras-Key", teamKey);
  }

  Either<ToolFailure, JsonNode> get(String path) {
    return call(request(path).build());
  }

  Either<ToolFailure, JsonNode> delete(String path) {
    return call(request(path).delete().build());
  }

  Either<ToolFailure, JsonNode> post(String path, Object body) {
    return call(request(path).post(RequestBody.create(Json.write(body), JSON)).build());
  }

  private Request.Builder request(String path) {
    return new Request.Builder().url(base + path).header(headerName, headerValue);
  }

  private Either<ToolFailure, JsonNode> call(Request request) {
    try (Response response = client.newCall(request).execute()) {
      JsonNode node = Json.mapper().readTree(response.body().string());
      return response.code() < FIRST_ERROR
          ? Either.right(node)
          : Either.left(ToolFailure.of(Json.mapper().treeToValue(node, Problem.class)));
    } catch (JsonProcessingException e) {
      return Either.left(
          ToolFailure.of(ExitCode.UNREACHABLE, base + " is not a sassafraslink daemon."));
    } catch (IOException e) {
      return Either.left(
          ToolFailure.of(ExitCode.UNREACHABLE, base + " does not answer: " + e.getMessage()));
    }
  }
}
