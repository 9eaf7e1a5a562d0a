package org.sassafraslink.cli;

import com.google.common.collect.ImmutableMap;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.sassafraslink.cli.Flags.Flag;

/** The entry point of the command-line tool {@code sassafraslink}. */
public final class Main {
  private static final String USAGE =
      """
      sassafraslink COMMAND [ARGUMENTS] [FLAGS]

        check DIR                  validates the service files below DIR, without a daemon
        gather DIR                 prints the configuration that the files below DIR define
        diff DIR                   compares the files below DIR with the current version
        publish DIR                publishes the files below DIR as a new version and waits
                                   until all daemons know it
        status                     prints pools, VMs, teams, waves and versions
        audit                      lists all accepted versions with author and changes
        submit QUEUE               submits a job (--cores, --memory-mb, --run-ms, ...)
        jobs                       lists the team's jobs
        cancel JOB                 cancels the job with the id that 'jobs' prints
        keys make ID               creates and prints a key and its digest; stores neither
        keys grant FILE ID         creates and prints a key; adds its digest to a team's file
        keys withdraw FILE ID      removes the digest of a key from a team's file
        explain vm ID              explains the state of a VM, and which daemons delay its drain
        explain job ID             explains why a job is in its state
        explain request SERVICE QUEUE [KEY-ID]   explains whether a request is rejected, and why

      Exit codes: 0 done, 1 files differ, 2 wrong usage, 3 invalid files, 4 conflict,
      5 other failure reported by the daemon, 6 outcome unknown, 7 daemon unreachable.

      """;

  private Main() {}

  /** Runs one command and ends the process with its {@link ExitCode}. */
  public static void main(String[] args) throws IOException {
    System.exit(runTool(args, System.getenv(), System.out, System.err));
  }

  /**
   * Runs one command and returns its exit code.
   *
   * @param out receives results
   * @param err receives failures and progress
   */
  static int runTool(
      String[] args, Map<String, String> environment, PrintStream out, PrintStream err)
      throws IOException {
    OptionParser parser = createParser();
    OptionSet options;
    try {
      options = parser.parse(args);
    } catch (OptionException e) {
      err.println(e.getMessage());
      return ExitCode.USAGE.code();
    }
    List<String> positionalArguments =
        options.nonOptionArguments().stream().map(String::valueOf).toList();
    if (options.has("help") || positionalArguments.isEmpty()) {
      out.print(USAGE);
      parser.printHelpOn(out);
      return options.has("help") ? ExitCode.OK.code() : ExitCode.USAGE.code();
    }
    Flags flags = new Flags(options, ImmutableMap.copyOf(environment));
    Printer printer = new Printer(flags.text(Flag.OUTPUT).equals("json"), out, err);
    Either<CommandFailure, ExitCode> result =
        flags
            .check()
            .flatMap(
                checked ->
                    Commands.create(printer, checked)
                        .runCommand(
                            positionalArguments.get(0),
                            positionalArguments.subList(1, positionalArguments.size())));
    result.peekLeft(printer::printFailure);
    return result.fold(CommandFailure::exitCode, code -> code).code();
  }

  private static OptionParser createParser() {
    OptionParser parser = new OptionParser();
    for (Flag flag : Flag.values()) {
      parser.accepts(flag.flagName(), flag.description()).withRequiredArg();
    }
    parser.accepts("no-wait", "publish: does not wait until all daemons know the version");
    parser.accepts(
        "not-rerunnable", "submit: the job is not started again if its outcome is unknown");
    parser.accepts("help", "prints this help");
    return parser;
  }
}
