package org.sassafraslink.daemon.connection;

import com.google.common.collect.ImmutableSet;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.UUID;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.failure.FailureType;
import org.sassafraslink.api.model.FleetConfig;
import org.sassafraslink.api.model.FleetConfig.Queue;
import org.sassafraslink.api.model.FleetConfig.Service;
import org.sassafraslink.api.model.FleetConfig.TeamAndKey;
import org.sassafraslink.daemon.request.PendingCall;
import org.sassafraslink.daemon.request.PendingCall.Submitter;
import org.sassafraslink.daemon.version.ActiveConfig;
import org.sassafraslink.rules.request.KeyCheck;

/**
 * Decides whether a caller's request is accepted, and determines its service, queue and team.
 *
 * <p>The path of a request is {@code /SERVICE/QUEUE/...}.
 */
final class CallAdmission {
  /** The header that contains a team's key. */
  static final String TEAM_KEY_HEADER = "Sassafras-Key";

  private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
  private static final ImmutableSet<String> SUPPORTED_METHODS =
      ImmutableSet.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE");
  private static final int MAX_REQUEST_ID_LENGTH = 128;

  // Indexes into the segments of a path; segment 0, before the first slash, is empty.
  private static final int SERVICE_SEGMENT_INDEX = 1;
  private static final int QUEUE_SEGMENT_INDEX = 2;
  private static final int MIN_SEGMENT_COUNT = 3;

  private CallAdmission() {}

  /**
   * Returns the call for {@code request}, or the failure with which it is rejected.
   *
   * @param activeConfig the configuration to apply; empty if it was not verified within the lease
   * @param nowMillis monotonic time at which the request was received
   */
  static Either<Failure, PendingCall> admit(
      IncomingRequest request, Optional<ActiveConfig> activeConfig, long nowMillis) {
    if (activeConfig.isEmpty()) {
      return failure(
          FailureType.CONFIGURATION_STALE,
          "This daemon cannot verify that its configuration is the newest.");
    }
    boolean isSupported =
        SUPPORTED_METHODS.contains(request.method()) && request.uri().startsWith("/");
    if (!isSupported) {
      return failure(
          FailureType.REQUEST_MALFORMED,
          "The method is not supported, or the request target is not a path.");
    }
    FleetConfig config = activeConfig.get().config();
    String[] segments = pathWithoutQuery(request.uri()).split("/", -1);
    Service service =
        segments.length < MIN_SEGMENT_COUNT
            ? null
            : config.services().get(segments[SERVICE_SEGMENT_INDEX]);
    Queue queue = service == null ? null : service.queues().get(segments[QUEUE_SEGMENT_INDEX]);
    if (queue == null) {
      return failure(FailureType.SERVICE_UNKNOWN, "No service has a queue at this path.");
    }
    return identifySubmitter(config, request, queue)
        .flatMap(submitter -> createCall(request, service, queue, submitter, nowMillis));
  }

  /**
   * Creates the call, whose path no longer contains the name of the service. Returns a failure if
   * the request id is not valid.
   */
  private static Either<Failure, PendingCall> createCall(
      IncomingRequest request,
      Service service,
      Queue queue,
      Optional<Submitter> submitter,
      long nowMillis) {
    Optional<String> requestId = request.header(IDEMPOTENCY_KEY_HEADER);
    if (requestId.filter(id -> !isValidRequestId(id)).isPresent()) {
      return failure(
          FailureType.REQUEST_MALFORMED,
          IDEMPOTENCY_KEY_HEADER
              + " must be 1 to "
              + MAX_REQUEST_ID_LENGTH
              + " visible ASCII characters.");
    }
    PendingCall.Request forwardedRequest =
        new PendingCall.Request(
            UUID.randomUUID().toString(),
            request.method(),
            request.uri().substring(1 + service.name().length()),
            request.headers(),
            request.body(),
            requestId);
    return Either.right(
        PendingCall.create(forwardedRequest, service.name(), queue, submitter, nowMillis));
  }

  /**
   * Returns the team whose key is in the request, or empty for a request without a key on an open
   * queue. Returns a failure if a required key is missing or if no team has the key.
   */
  private static Either<Failure, Optional<Submitter>> identifySubmitter(
      FleetConfig config, IncomingRequest request, Queue queue) {
    Optional<String> key = request.header(TEAM_KEY_HEADER);
    return KeyCheck.identifyTeam(config, key, queue.open())
        .map(
            team ->
                team.flatMap(name -> key.flatMap(value -> config.keyById(KeyCheck.publicId(value))))
                    .map(CallAdmission::toSubmitter));
  }

  private static Submitter toSubmitter(TeamAndKey teamAndKey) {
    return new Submitter(teamAndKey.team().name(), teamAndKey.key());
  }

  private static String pathWithoutQuery(String uri) {
    int queryStart = uri.indexOf('?');
    return queryStart < 0 ? uri : uri.substring(0, queryStart);
  }

  private static boolean isValidRequestId(String requestId) {
    return !requestId.isEmpty()
        && requestId.length() <= MAX_REQUEST_ID_LENGTH
        && requestId.chars().allMatch(c -> c > ' ' && c <= '~');
  }

  private static <T> Either<Failure, T> failure(FailureType type, String detail) {
    return Either.left(Failure.of(type, detail));
  }
}
