package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableMap;
import java.util.stream.Stream;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.log.EventLog;

/**
 * Passes each change of a job to the writer of the partition that holds the job's decision rows.
 *
 * <p>The partitions are written independently of each other, so that a slow store delays a change
 * only by the transactions of its own partition.
 */
final class JobProgressWriter {
  /** Receives the outcomes of transactions; called on the scheduler's thread. */
  interface Listener {
    /**
     * Called when changes of a job are committed; {@link Job#lastCommittedChange} is the newest of
     * them.
     */
    void onCommitted(Job job);

    /** Called when a job's final state conflicts with a cancellation that was stored before it. */
    void onCancellationFound(Job job);

    /** Called when a conflict shows that another process has acquired the lease. */
    void onLeaseCheckFailed();
  }

  private final FleetClock clock;
  private final SchedulerLoad load;
  private final ImmutableMap<String, DecisionPartitionWriter> writerByPartition;

  JobProgressWriter(
      RowStore store,
      FleetClock clock,
      EventLog log,
      SchedulerLease lease,
      DecisionFences fences,
      SchedulerLoad load,
      InheritedLeaseEnds inheritedLeaseEnds,
      Listener listener) {
    this.clock = clock;
    this.load = load;
    this.writerByPartition =
        Stream.concat(Stream.of(JobRows.MAIN_PARTITION), JobRows.decisionPartitions().stream())
            .collect(
                ImmutableMap.toImmutableMap(
                    partition -> partition,
                    partition ->
                        new DecisionPartitionWriter(
                            store,
                            clock,
                            log,
                            lease,
                            fences,
                            load,
                            inheritedLeaseEnds,
                            listener,
                            partition)));
  }

  /** Discards all uncommitted changes, since this process no longer holds the lease. */
  void reset() {
    writerByPartition.values().forEach(DecisionPartitionWriter::reset);
  }

  /**
   * Records that a job has changed.
   *
   * @param isUrgent whether the change is committed without waiting for others
   */
  void recordChange(Job job, boolean isUrgent) {
    job.recordChange(clock.monotonicMillis());
    writerByPartition.get(job.decisionPartition).add(job, isUrgent);
  }

  /** Sends the next transaction of each partition in which one is due. */
  void commitIfDue(long nowMillis) {
    load.recordDirtyJobs(
        writerByPartition.values().stream().mapToInt(DecisionPartitionWriter::dirtyJobCount).sum());
    writerByPartition.values().forEach(writer -> writer.commitIfDue(nowMillis));
  }
}
