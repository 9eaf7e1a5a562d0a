package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Records since when workers have been empty, that is, safe to remove. */
final class EmptyWorkers {
  private final Map<Worker, Long> emptySinceMillis = new LinkedHashMap<>();

  void reset() {
    emptySinceMillis.clear();
  }

  /** Adds the workers that have become empty, and removes those that are not any more. */
  void update(Collection<Worker> allWorkers, long nowMillis) {
    Set<Worker> present = new LinkedHashSet<>(allWorkers);
    emptySinceMillis.keySet().retainAll(present);
    for (Worker worker : present) {
      if (worker.isSafeToRemove()) {
        emptySinceMillis.putIfAbsent(worker, nowMillis);
      } else {
        emptySinceMillis.remove(worker);
      }
    }
  }

  /** Returns the empty workers, as of the last update. */
  ImmutableList<Worker> all() {
    return ImmutableList.copyOf(emptySinceMillis.keySet());
  }

  /** Returns for how long a worker has been empty, in ms; 0 if it is not. */
  long emptyMillis(Worker worker, long nowMillis) {
    return nowMillis - emptySinceMillis.getOrDefault(worker, nowMillis);
  }
}
