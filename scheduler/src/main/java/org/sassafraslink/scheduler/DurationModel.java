package org.sassafraslink.scheduler;

import java.util.HashMap;
import java.util.Map;
import org.sassafraslink.api.fleet.StepSpec;

/**
 * Predicts the durations of tasks from the durations of earlier tasks of the same queue and image.
 *
 * <p>Submitters' estimates are far off, mostly by a factor that is typical of the submitter. The
 * mean of the actual durations is a better prediction; the estimates are used only to distinguish
 * large tasks from small ones.
 */
final class DurationModel {
  /** The smallest weight of the newest sample in the running means. */
  private static final double MIN_NEWEST_WEIGHT = 0.05;

  /** The number of samples from which on the running means are used. */
  private static final int MIN_SAMPLES = 5;

  private record Key(String queue, String image) {}

  /** Running means of the actual and estimated durations of successful attempts. */
  private static final class Means {
    private int samples;
    private double meanActualMillis;
    private double meanEstimatedMillis;
  }

  private final Map<Key, Means> meansByKey = new HashMap<>();

  /** Records the duration of a successful attempt, in ms. */
  void recordDuration(String queue, StepSpec step, long actualMillis) {
    Means means = meansByKey.computeIfAbsent(new Key(queue, step.image()), key -> new Means());
    means.samples++;
    double weight = Math.max(MIN_NEWEST_WEIGHT, 1.0 / means.samples);
    means.meanActualMillis += weight * (actualMillis - means.meanActualMillis);
    means.meanEstimatedMillis += weight * (step.estimatedMillis() - means.meanEstimatedMillis);
  }

  /**
   * Returns the expected duration of a task in ms. It is the average of two predictions: the mean
   * actual duration, and the task's estimate multiplied by the ratio of the mean actual duration to
   * the mean estimate. With too few samples it is the task's estimate.
   */
  double expectedMillis(String queue, StepSpec step) {
    Means means = meansByKey.get(new Key(queue, step.image()));
    if (means == null || means.samples < MIN_SAMPLES || means.meanEstimatedMillis <= 0) {
      return Math.max(1, step.estimatedMillis());
    }
    double scaledEstimateMillis =
        step.estimatedMillis() * means.meanActualMillis / means.meanEstimatedMillis;
    return (means.meanActualMillis + scaledEstimateMillis) / 2;
  }
}
