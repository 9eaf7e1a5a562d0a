package org.sassafraslink.cli;

import org.sassafraslink.api.failure.FailureType;

/** The exit codes of the tool, which scripts may rely on. */
enum ExitCode {
  /** The command succeeded. */
  OK(0),

  /** The command {@code diff} succeeded and found a difference. */
  FILES_DIFFER(1),

  /**
   * The arguments are wrong or incomplete, or a file that they name cannot be edited as requested.
   */
  USAGE(2),

  /** The service files cannot be read, have errors, or were rejected by the daemon. */
  INVALID_FILES(3),

  /** The published files are not based on the current version of the configuration. */
  CONFLICT(4),

  /** The daemon reported a failure without an exit code of its own, such as a rejected key. */
  OTHER_FAILURE(5),

  /** It is unknown whether the request was performed, or whether all daemons know the version. */
  OUTCOME_UNKNOWN(6),

  /** No daemon answered at the configured URL in time, or the answer was not from a daemon. */
  UNREACHABLE(7);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  int code() {
    return code;
  }

  /** Returns the exit code for a failure that a daemon reported. */
  static ExitCode forFailureType(FailureType type) {
    return switch (type) {
      case CONFIGURATION_CONFLICT -> CONFLICT;
      case CONFIGURATION_INVALID -> INVALID_FILES;
      case OUTCOME_UNKNOWN, STORE_OUTCOME_UNKNOWN -> OUTCOME_UNKNOWN;
      default -> OTHER_FAILURE;
    };
  }
}
