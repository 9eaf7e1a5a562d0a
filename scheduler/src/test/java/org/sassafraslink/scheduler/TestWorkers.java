package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.fleet.WorkerEntry;

/** Creates workers for unit tests. */
final class TestWorkers {
  static final Resources CAPACITY = new Resources(16_000, 64_000, 0);

  private TestWorkers() {}

  /** Returns a listed worker that has reported, in the pool {@code "pool"}. */
  static Worker withId(String id) {
    return inPool(id, "pool");
  }

  /** Returns the next incarnation of a worker, with the same entry otherwise. */
  static Worker restarted(Worker earlier) {
    Worker worker =
        new Worker(
            earlier.entry.withIncarnation(earlier.entry.incarnation() + 1),
            /* unknownLeasesEndMillis= */ 0,
            /* unknownInheritedEndMillis= */ 0);
    worker.hasReported = true;
    return worker;
  }

  static Worker inPool(String id, String pool) {
    Worker worker =
        new Worker(
            new WorkerEntry(
                id,
                /* incarnation= */ 1,
                pool,
                InetSocketAddress.createUnresolved(id, 1),
                "zone",
                "m-" + id,
                /* rack= */ "r1",
                /* labels= */ ImmutableList.of("a", "r1"),
                CAPACITY,
                /* draining= */ false),
            /* unknownLeasesEndMillis= */ 0,
            /* unknownInheritedEndMillis= */ 0);
    worker.hasReported = true;
    return worker;
  }
}
