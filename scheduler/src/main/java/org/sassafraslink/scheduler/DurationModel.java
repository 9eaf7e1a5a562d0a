package org.sassafraslink.scheduler;

import java.util.HashMap;
import java.util.Map;
import org.sassafraslink.api.fleet.StepSpec;

/**
 * Learns how long tasks of a queue and image really take.
 *
 * <p>Submitters' estimates are far off, mostly by a factor of their own; the mean over a queue is a
 * better guess, and the estimate only tells large tasks from small ones.
 */
final class DurationModel {
  /** Weight of the newest duration in the running means. */
  private static final double NEWEST_WEIGHT = 0.05;

  /** Ends after which the running means are trusted. */
  private static final int ENOUGH_ENDS = 5;

  private record Key(String queue, String image) {}

  private static final class Means {
    private int ends;
    private double actual;
    private double estimated;
  }

  private final Map<Key, Means> byKey = new HashMap<>();

  /** Takes in the duration of an attempt that was successful, in ms. */
  void learn(String queue, StepSpec step, long actualMillis) {
    Means means = byKey.computeIfAbsent(new Key(queue, step.image()), key -> new Means());
    means.ends++;
    double weight = Math.max(NEWEST_WEIGHT, 1.0 / means.ends);
    means.actual += weight * (actualMillis - means.actual);
    means.estimated += weight * (step.estimatedMillis() - means.estimated);
  }

  /** The expected duration of a task in ms: the mean of the mean and the scaled estimate. */
  double expectedMillis(String queue, StepSpec step) {
    Means means = byKey.get(new Key(queue, step.image()));
    if (means == null || means.ends < ENOUGH_ENDS || means.estimated <= 0) {
      return Math.max(1, step.estimatedMillis());
    }
    double scaled = step.estimatedMillis() * means.actual / means.estimated;
    return (means.actual + scaled) / 2;
  }
}
