package org.sassafraslink.bench;

import com.google.common.collect.ImmutableList;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

/** Runs all experiments and prints their table as CSV; the same on every run. */
public final class Main {
  private static final int SEEDS = 10;

  /** Service sizes for which the admission experiment is run. */
  private static final int SERVICES = 2;

  private final PrintStream out;

  private Main(PrintStream out) {
    this.out = out;
  }

  /** Runs all experiments. */
  public static void main(String[] args) {
    Main main = new Main(System.out);
    main.out.println("experiment,deployment,policy,measure,mean,worst");
    for (Deployment deployment : ImmutableList.of(Deployment.surat(), Deployment.mwakilema())) {
      for (Policy policy : Policy.values()) {
        main.admission(deployment, policy);
      }
      main.waves(deployment);
    }
  }

  private void admission(Deployment deployment, Policy policy) {
    List<AdmissionExperiment.Result> results =
        LongStream.rangeClosed(1, SEEDS)
            .parallel()
            .boxed()
            .flatMap(
                seed ->
                    deployment.instances().stream()
                        .distinct()
                        .limit(SERVICES)
                        .map(n -> AdmissionExperiment.run(policy, deployment, n, seed)))
            .toList();
    String row = "admission," + deployment.name() + "," + policy;
    low(row + ",goodput at 5x of capacity", results, AdmissionExperiment.Result::goodputAtBurst);
    high(
        row + ",worst distance from share",
        results,
        AdmissionExperiment.Result::worstShareDistance);
    high(row + ",mean distance from share", results, AdmissionExperiment.Result::meanShareDistance);
    high(row + ",urgent wait p99.9 ms", results, AdmissionExperiment.Result::urgentWaitP999);
    high(row + ",counter wait p99 ms", results, AdmissionExperiment.Result::counterWaitP99);
  }

  private void waves(Deployment deployment) {
    for (boolean failure : new boolean[] {false, true}) {
      for (boolean oneAtATime : new boolean[] {false, true}) {
        List<WaveExperiment.Result> results = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
          for (int instances : deployment.instances()) {
            results.add(WaveExperiment.run(instances, oneAtATime, failure, seed));
          }
        }
        String policy = (oneAtATime ? "ONE_AT_A_TIME" : "BY_BUDGET") + (failure ? "+FAILURE" : "");
        String row = "wave," + deployment.name() + "," + policy;
        high(
            row + ",roll-out over lower bound",
            results,
            r -> (double) r.seconds() / r.lowerBoundSeconds());
        high(row + ",seconds over budget", results, WaveExperiment.Result::overBudgetSeconds);
      }
    }
  }

  private <T> void high(String row, List<T> results, ToDoubleFunction<T> value) {
    print(row, results, value, results.stream().mapToDouble(value).max().orElse(0));
  }

  private <T> void low(String row, List<T> results, ToDoubleFunction<T> value) {
    print(row, results, value, results.stream().mapToDouble(value).min().orElse(0));
  }

  private <T> void print(String row, List<T> results, ToDoubleFunction<T> value, double worst) {
    double mean = results.stream().mapToDouble(value).average().orElse(0);
    out.printf(Locale.ROOT, "%s,%.3f,%.3f%n", row, mean, worst);
  }
}
