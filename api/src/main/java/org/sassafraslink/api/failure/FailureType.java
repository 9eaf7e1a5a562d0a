package org.sassafraslink.api.failure;

import java.util.Locale;

/**
 * The stable types of failure that are reported to callers and operators.
 *
 * <p>Each type has the HTTP status of the answer that reports it, and the flag {@code notRun}: true
 * if the requested work is known not to have run. It is true only for failures that occur before
 * any byte of the request can have reached a backend server.
 */
public enum FailureType {
  /** The request has no key, and its queue requires one. */
  KEY_MISSING(401, true),
  /** No team holds the key in the request. */
  KEY_REJECTED(401, true),
  /** The request has no valid operator's key. */
  OPERATOR_REJECTED(401, true),
  TEAM_NOT_ALLOWED(403, true),
  /** No queue exists at the requested path, or no job queue with the requested name. */
  SERVICE_UNKNOWN(404, true),
  JOB_UNKNOWN(404, true),
  /** Nothing exists at the requested path. */
  RESOURCE_UNKNOWN(404, true),
  REQUEST_MALFORMED(400, true),
  /** The request was not received completely in time. */
  REQUEST_TIMEOUT(408, true),
  /** The caller closed the connection before the request was sent to a backend server. */
  CALLER_LEFT(499, true),
  REQUEST_TOO_LARGE(413, true),
  HEADERS_TOO_LARGE(431, true),
  QUEUE_FULL(503, true),
  /** The process holds as many bytes for callers as it may. */
  PROCESS_FULL(503, true),
  /** The request waited until its deadline and was not sent. */
  DEADLINE_BEFORE_START(504, true),
  /** No instance of the service could be reached. */
  NO_INSTANCE(503, true),
  /** The job was cancelled before it was stored; it never runs. */
  JOB_CANCELLED(503, true),
  /** Too many ids that belong to no stored job were cancelled; nothing was changed. */
  CANCELLATION_LIMITED(503, true),
  /** The daemon has not loaded a configuration yet. */
  NOT_READY(503, true),
  /** The daemon cannot verify that its configuration is the newest. */
  CONFIGURATION_STALE(503, true),
  SHUTTING_DOWN(503, true),
  /** The claim of the request id could not be written. */
  CLAIM_UNAVAILABLE(503, true),
  /** No worker is large enough for the job, even when idle. */
  JOB_NEVER_RUNNABLE(422, true),
  /** The request may have been sent, but no complete answer was received. */
  OUTCOME_UNKNOWN(502, false),
  ANSWER_TRUNCATED(502, false),
  /** The answer of the backend server exceeds the allowed size. */
  ANSWER_TOO_LARGE(502, false),
  /** A request with the same id may be running or may have run. */
  REQUEST_ID_IN_USE(409, false),
  /** The request id was used before for a different request. */
  REQUEST_ID_MISMATCH(422, true),
  CONFIGURATION_INVALID(422, true),
  /** The published configuration conflicts with another change of the configuration. */
  CONFIGURATION_CONFLICT(409, true),
  /**
   * Too few entry daemons confirmed that they received the intent of the published configuration.
   */
  CONFIGURATION_UNCONFIRMED(503, true),
  /** The platform's store does not answer; nothing was changed. */
  STORE_UNAVAILABLE(503, true),
  /** The answer of the platform's store was lost; the change may have taken effect. */
  STORE_OUTCOME_UNKNOWN(504, false),
  INTERNAL(500, false);

  private static final String URN_PREFIX = "urn:sassafraslink:failure:";

  private final int httpStatus;
  private final boolean notRun;

  FailureType(int httpStatus, boolean notRun) {
    this.httpStatus = httpStatus;
    this.notRun = notRun;
  }

  /** Returns the HTTP status code of an answer that reports this failure. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns whether the requested work is known not to have run. */
  public boolean notRun() {
    return notRun;
  }

  /** Returns the stable URI of this type, for the {@code type} member of an RFC 9457 problem. */
  public String urn() {
    return URN_PREFIX + slug();
  }

  /** Returns the name of this type in lower case with hyphens. */
  public String slug() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
