package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.log.EventLog;

/**
 * Reads the submissions of jobs whose acceptance an entry VM has announced, unless {@link JobFeed}
 * delivers them first. While the store's long polls are silent or cut, new jobs would otherwise
 * wait for as long as these.
 *
 * <p>An announcement is only a hint: the job is read from the store. A lost one costs nothing but
 * the wait for the feed.
 */
final class AnnouncedJobs {
  /** Time within which the feed usually delivers a job, in ms; only then is its row read. */
  private static final long FEED_DELAY_MILLIS = 60;

  /** Most announced jobs that are remembered; further announcements are ignored. */
  private static final int MAX_ANNOUNCED = 1_000;

  /** Most reads in progress, so that they delay no other call to the store. */
  private static final int MAX_READS = 16;

  private final RowStore store;
  private final EventLog log;
  private final Predicate<String> isKnown;
  private final Consumer<ImmutableList<StoredRow>> onRead;

  /** When the row of each announced job is read, monotonic ms, earliest first. */
  private final Map<String, Long> readAtMillis = new LinkedHashMap<>();

  private int pendingReads;

  /** Incremented by each reset; responses to reads from before it are ignored. */
  private long generation;

  /**
   * Creates an instance without announced jobs.
   *
   * @param isKnown returns whether the job with an id has been read, whether or not it has finished
   * @param onRead receives the rows in the partition of submissions of one job
   */
  AnnouncedJobs(
      RowStore store,
      EventLog log,
      Predicate<String> isKnown,
      Consumer<ImmutableList<StoredRow>> onRead) {
    this.store = store;
    this.log = log;
    this.isKnown = isKnown;
    this.onRead = onRead;
  }

  void reset() {
    generation++;
    pendingReads = 0;
    readAtMillis.clear();
  }

  /** Records that an entry VM has announced the acceptance of a job. */
  void announce(String jobId, long nowMillis) {
    if (readAtMillis.size() < MAX_ANNOUNCED && !isKnown.test(jobId)) {
      readAtMillis.putIfAbsent(jobId, nowMillis + FEED_DELAY_MILLIS);
    }
  }

  /** Reads the jobs that are due and that the feed has not delivered. */
  void readIfDue(long nowMillis) {
    Iterator<Map.Entry<String, Long>> announced = readAtMillis.entrySet().iterator();
    while (announced.hasNext() && pendingReads < MAX_READS) {
      Map.Entry<String, Long> next = announced.next();
      if (nowMillis < next.getValue()) {
        return;
      }
      announced.remove();
      if (!isKnown.test(next.getKey())) {
        read(next.getKey());
      }
    }
  }

  private void read(String jobId) {
    pendingReads++;
    long sentGeneration = generation;
    store.read(
        JobRows.submissionRange(jobId),
        response -> {
          if (generation != sentGeneration) {
            return;
          }
          pendingReads--;
          if (response.isRight()) {
            log.log("job.read", "job", jobId, "rows", response.get().rows().size());
            onRead.accept(response.get().rows());
          }
        });
  }
}
