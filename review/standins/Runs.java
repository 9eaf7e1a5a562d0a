import java.util.ArrayList;
import java.util.List;

/** The runs of tasks that a record shows. Times are in ms since 1970. */
final class Runs {
  /** A run; {@code endMillis} is {@link Long#MAX_VALUE} while it goes on. */
  static final class Run {
    final String minion;
    final String task;
    final int attempt;
    final long startMillis;

    /** The time from the start to the deadline that the start gave, as the minion saw it. */
    final long leaseMillis;

    long endMillis = Long.MAX_VALUE;
    String how = "";

    Run(String minion, String task, int attempt, long startMillis, long leaseMillis) {
      this.minion = minion;
      this.task = task;
      this.attempt = attempt;
      this.startMillis = startMillis;
      this.leaseMillis = leaseMillis;
    }

    @Override
    public String toString() {
      return task + " attempt " + attempt + " at " + minion + " [" + startMillis + ", "
          + (endMillis == Long.MAX_VALUE ? "goes on" : endMillis + " " + how) + "]";
    }
  }

  private Runs() {}

  /** Reads the runs; the kill of a minion by the trial ends its runs. */
  static List<Run> read(List<String> record) {
    List<Run> runs = new ArrayList<>();
    for (String line : record) {
      String[] words = line.split(" ");
      long millis = Long.parseLong(words[0]);
      if (words[2].equals("run-start")) {
        long leaseMillis =
            Long.parseLong(words[words.length - 3]) - Long.parseLong(words[words.length - 1]);
        runs.add(new Run(words[1], words[3], Integer.parseInt(words[5]), millis, leaseMillis));
      } else if (words[2].equals("run-end")) {
        for (Run run : runs) {
          boolean isSame =
              run.minion.equals(words[1])
                  && run.task.equals(words[3])
                  && run.attempt == Integer.parseInt(words[5]);
          if (isSame && run.endMillis == Long.MAX_VALUE) {
            run.endMillis = millis;
            run.how = words[6];
          }
        }
      } else if (line.contains("trial sends KILL to ")) {
        for (Run run : runs) {
          if (run.minion.equals(words[words.length - 1]) && run.endMillis == Long.MAX_VALUE) {
            run.endMillis = millis;
            run.how = "killed";
          }
        }
      }
    }
    return runs;
  }

  static List<Run> ofTask(List<Run> runs, String task) {
    return runs.stream().filter(run -> run.task.equals(task)).toList();
  }
}
