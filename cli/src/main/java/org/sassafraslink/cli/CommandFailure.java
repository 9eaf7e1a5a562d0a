package org.sassafraslink.cli;

import com.google.common.collect.ImmutableList;
import java.util.Locale;
import org.sassafraslink.api.failure.FailureType;
import org.sassafraslink.api.failure.Problem;

/**
 * The reason why a command failed, as an exit code for scripts and messages for the user.
 *
 * @param exitCode the exit code of the process
 * @param messages the lines that the tool prints for the user
 */
record CommandFailure(ExitCode exitCode, ImmutableList<String> messages) {
  static CommandFailure of(ExitCode exitCode, String message) {
    return new CommandFailure(exitCode, ImmutableList.of(message));
  }

  /** Returns the failure of a command for which a daemon reported {@code problem}. */
  static CommandFailure of(Problem problem) {
    for (FailureType type : FailureType.values()) {
      if (type.urn().equals(problem.type())) {
        return of(ExitCode.forFailureType(type), formatProblem(problem));
      }
    }
    return of(ExitCode.OTHER_FAILURE, formatProblem(problem));
  }

  private static String formatProblem(Problem problem) {
    return String.format(
        Locale.ROOT,
        "%s (%d%s): %s",
        problem.title(),
        problem.status(),
        problem.notRun() ? ", request not performed" : "",
        problem.detail());
  }
}
