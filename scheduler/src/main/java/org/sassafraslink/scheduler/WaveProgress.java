package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sassafraslink.api.fleet.Wave;

/**
 * The progress of one wave of maintenance under this scheduler, which may continue that of earlier
 * ones.
 *
 * <p>Not thread-safe: used only on the scheduler's thread.
 */
final class WaveProgress {
  final Wave wave;
  final ImmutableSet<String> vms;

  /** When a scheduler first saw the wave, monotonic ms. */
  final long firstSeenMillis;

  /** VMs whose command was accepted, that are not in the wave, or that are not listed. */
  final Set<String> handledVms = new HashSet<>();

  /** VMs that are or may be down for this wave, with the time of the command, monotonic ms. */
  final Map<String, Long> downSinceMillis = new HashMap<>();

  /** Whether the operator was told that the wave is running. */
  boolean runningReported;

  /** Whether the operator was told that the wave is completed. */
  boolean completedReported;

  /** When a scheduler first saw the wave, wall-clock ms. */
  private final long startedWallMillis;

  private WaveProgress(Wave wave, long firstSeenMillis, long startedWallMillis) {
    this.wave = wave;
    this.vms = ImmutableSet.copyOf(wave.vms());
    this.firstSeenMillis = firstSeenMillis;
    this.startedWallMillis = startedWallMillis;
  }

  static WaveProgress start(Wave wave, long nowMillis, long wallMillis) {
    return new WaveProgress(wave, nowMillis, wallMillis);
  }

  /** Returns the progress of a wave that an earlier scheduler has begun. */
  static WaveProgress resume(
      Wave wave, WaveProgressRows.Progress stored, long nowMillis, long wallMillis) {
    long elapsedMillis = Math.max(0, wallMillis - stored.startedMillis());
    WaveProgress progress =
        new WaveProgress(wave, nowMillis - elapsedMillis, stored.startedMillis());
    progress.handledVms.addAll(stored.handledVms());
    progress.runningReported = progress.remainingVms().isEmpty();
    return progress;
  }

  WaveProgressRows.Progress toRow() {
    return new WaveProgressRows.Progress(startedWallMillis, ImmutableSet.copyOf(handledVms));
  }

  List<String> remainingVms() {
    List<String> result = new ArrayList<>(wave.vms());
    result.removeAll(handledVms);
    return result;
  }
}
