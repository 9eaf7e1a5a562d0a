package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
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

  /** VMs whose command was accepted, or that the platform does not count to the wave. */
  final Set<String> handledVms = new HashSet<>();

  /** VMs that have left the fleet, as of the time when the wave was completed. */
  final Set<String> leftVms = new HashSet<>();

  /** What the lists of VMs under this scheduler show about VMs that have left. */
  final VmDepartures departures;

  /** VMs that are or may be down for this wave, with the time of the command, monotonic ms. */
  final Map<String, Long> downSinceMillis = new HashMap<>();

  /** Whether the operator was told that the wave is running. */
  boolean runningReported;

  /** Whether the operator was told that the wave is completed. */
  boolean completedReported;

  /** When a scheduler first saw the wave, wall-clock ms. */
  private final long startedWallMillis;

  private WaveProgress(
      Wave wave, long firstSeenMillis, long startedWallMillis, VmDepartures departures) {
    this.wave = wave;
    this.departures = departures;
    this.vms = ImmutableSet.copyOf(wave.vms());
    this.firstSeenMillis = firstSeenMillis;
    this.startedWallMillis = startedWallMillis;
  }

  /** Returns the progress of a wave that no scheduler has seen before. */
  static WaveProgress start(Wave wave, long nowMillis, long wallMillis, long minAbsenceMillis) {
    VmDepartures departures = VmDepartures.since(nowMillis, minAbsenceMillis);
    return new WaveProgress(wave, nowMillis, wallMillis, departures);
  }

  /** Returns the progress of a wave that an earlier scheduler has begun. */
  static WaveProgress resume(
      Wave wave,
      WaveProgressRows.Progress stored,
      long nowMillis,
      long wallMillis,
      long minAbsenceMillis) {
    long elapsedMillis = Math.max(0, wallMillis - stored.startedMillis());
    VmDepartures departures = VmDepartures.since(nowMillis, minAbsenceMillis);
    WaveProgress progress =
        new WaveProgress(wave, nowMillis - elapsedMillis, stored.startedMillis(), departures);
    progress.handledVms.addAll(stored.handledVms());
    progress.leftVms.addAll(stored.leftVms());
    progress.runningReported = progress.leftVms.containsAll(progress.remainingVms());
    return progress;
  }

  /**
   * Continues a wave that was completed without a VM, since it had left, if the VM has come back.
   */
  void reopenIfListed(Predicate<String> isListed) {
    if (leftVms.removeIf(isListed)) {
      completedReported = false;
      runningReported = false;
    }
  }

  /** Records that the wave is completed without the VMs that remain, which have left. */
  void complete() {
    completedReported = true;
    leftVms.clear();
    leftVms.addAll(remainingVms());
  }

  WaveProgressRows.Progress toRow() {
    return new WaveProgressRows.Progress(
        startedWallMillis, ImmutableSet.copyOf(handledVms), ImmutableSet.copyOf(leftVms));
  }

  List<String> remainingVms() {
    List<String> result = new ArrayList<>(wave.vms());
    result.removeAll(handledVms);
    return result;
  }
}
