package org.sassafraslink.daemon.process;

import java.util.Locale;
import java.util.Optional;

/**
 * The settings of the daemon, each of which is set by a command-line flag or an environment
 * variable.
 *
 * <p>A flag takes precedence over the environment variable, and the variable over the default
 * value. Settings whose flag ends with {@code -ms} are in milliseconds.
 */
enum Setting {
  VM_ID("vm-id", "id of this VM in the platform's list", "", Kind.REQUIRED_TEXT),
  ZONE("zone", "availability zone of this VM", "", Kind.REQUIRED_TEXT),
  HOST("host", "IP address to listen on", "127.0.0.1", Kind.REQUIRED_TEXT),
  VM_INCARNATION(
      "vm-incarnation", "boot count of this VM in the platform's list", "1", 0, Integer.MAX_VALUE),
  HTTP_PORT("http-port", "port for requests of callers", "8080", 1, 65_535),
  ADMIN_PORT("admin-port", "port of the administration API", "8081", 1, 65_535),
  PEER_PORT("peer-port", "port for other entry daemons", "7070", 1, 65_535),
  PLATFORM_URL("platform-url", "base URL of the platform", "", Kind.REQUIRED_TEXT),
  WORKER_URL(
      "worker-url", "base URL of the worker control; the platform's URL if empty", "", Kind.TEXT),
  OPERATORS("operators", "name=digest of each operator's key, separated by commas", "", Kind.TEXT),
  STORE_TIMEOUT("store-timeout-ms", "timeout of a call to the platform", "1000", 10, 60_000),
  POLL_INTERVAL("poll-ms", "interval between rounds of reads from the store", "500", 50, 10_000),
  PEER_INTERVAL(
      "peer-interval-ms",
      "interval between requests for the state of the other daemons",
      "300",
      50,
      10_000),
  FRESHNESS_LEASE(
      "freshness-lease-ms",
      "how long a configuration may be used after it was verified as the newest",
      "4000",
      500,
      10_000),
  LEADERSHIP_LEASE(
      "duty-lease-ms",
      "duration of the lease of a leadership task, which one daemon does for all",
      "5000",
      500,
      60_000),
  ABSENCE_TIMEOUT(
      "absence-proof-ms",
      "how long a VM must be absent from the platform's list to be considered dead",
      "60000",
      1_000,
      3_600_000),
  MAX_REQUEST_BYTES("max-request-bytes", "largest body of a request", "1048576", 1_024, 67_108_864),
  MAX_ANSWER_BYTES("max-answer-bytes", "largest body of an answer", "8388608", 1_024, 67_108_864),
  MAX_HEADER_BYTES(
      "max-header-bytes",
      "largest total size of the headers of a request",
      "16384",
      1_024,
      1_048_576),
  MAX_BUFFERED_BYTES(
      "max-buffered-bytes",
      "largest total of all request bodies held at once",
      "50331648",
      65_536,
      1_073_741_824),
  MAX_CONNECTIONS("max-connections", "largest number of connections of callers", "4096", 1, 65_536),
  READ_TIMEOUT(
      "read-timeout-ms",
      "longest time from the first byte of a request to its last",
      "15000",
      100,
      600_000),
  IDLE_TIMEOUT(
      "idle-timeout-ms",
      "longest wait for the next request on a connection",
      "330000",
      100,
      3_600_000),
  QUEUE_TOTAL(
      "queue-total", "largest number of requests that wait for a service", "2000", 1, 1_000_000),
  QUEUE_PER_TEAM(
      "queue-per-team",
      "largest number of requests of one team that wait for a service",
      "1000",
      1,
      1_000_000),
  STOP_GRACE_TIME(
      "stop-grace-ms",
      "time for which requests are still accepted on a stop, after reporting not ready",
      "1000",
      0,
      60_000),
  STOP_LINGER_TIME(
      "stop-linger-ms",
      "time for which requests on open connections are rejected before a stop closes them",
      "2000",
      0,
      60_000),
  STOP_TIMEOUT(
      "stop-timeout-ms", "longest wait for accepted requests on a stop", "30000", 0, 600_000),
  LOG_FORMAT("log-format", "format of the log: plain or json", "plain", Kind.TEXT);

  /** How a value is checked. */
  enum Kind {
    TEXT,
    REQUIRED_TEXT,
    INTEGER
  }

  private static final String ENVIRONMENT_PREFIX = "SASSAFRASLINK_";

  private final String flag;
  private final String summary;
  private final String defaultValue;
  private final Kind kind;
  private final int min;
  private final int max;

  Setting(String flag, String summary, String defaultValue, Kind kind) {
    this(flag, summary, defaultValue, kind, 0, 0);
  }

  Setting(String flag, String summary, String defaultValue, int min, int max) {
    this(flag, summary, defaultValue, Kind.INTEGER, min, max);
  }

  Setting(String flag, String summary, String defaultValue, Kind kind, int min, int max) {
    this.flag = flag;
    this.summary = summary;
    this.defaultValue = defaultValue;
    this.kind = kind;
    this.min = min;
    this.max = max;
  }

  String flag() {
    return flag;
  }

  String defaultValue() {
    return defaultValue;
  }

  /** Returns the name of the environment variable, which is derived from the flag. */
  String environmentVariable() {
    return ENVIRONMENT_PREFIX + flag.toUpperCase(Locale.ROOT).replace('-', '_');
  }

  /** Returns the help text, with the range of a number and the environment variable. */
  String description() {
    return summary
        + (kind == Kind.INTEGER ? " (" + range() + ")" : "")
        + " ["
        + environmentVariable()
        + "]";
  }

  /**
   * Returns what is wrong with {@code value}, as a sentence for the operator that names the flag,
   * the value and the allowed range, or empty if the value is valid.
   */
  Optional<String> findError(String value) {
    return switch (kind) {
      case TEXT -> Optional.empty();
      case REQUIRED_TEXT ->
          value.isEmpty() ? Optional.of("--" + flag + " is required.") : Optional.empty();
      case INTEGER -> findIntegerError(value);
    };
  }

  private Optional<String> findIntegerError(String value) {
    try {
      int number = Integer.parseInt(value);
      if (number >= min && number <= max) {
        return Optional.empty();
      }
    } catch (NumberFormatException e) {
      // Reported below, in the same way as a number out of range.
    }
    return Optional.of(
        "--" + flag + " is '" + value + "' but must be a whole number in " + range() + ".");
  }

  private String range() {
    return min + ".." + max;
  }
}
