package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against tasks on workers that the platform no longer lists, or of another pool. */
class WorkerIndexTest {
  private final Worker first = TestWorkers.inPool("w0", "pool");
  private final Worker second = TestWorkers.inPool("w1", "pool");
  private final Worker unlisted = TestWorkers.inPool("w2", "pool");
  private final Worker inOtherPool = TestWorkers.inPool("w3", "other");
  private final Worker ofJobRow = TestWorkers.inPool("w4", "pool");
  private final WorkerIndex index = createIndex();

  private WorkerIndex createIndex() {
    unlisted.listed = false;
    return WorkerIndex.of(List.of(second, first, unlisted, inOtherPool), List.of(ofJobRow));
  }

  @Test
  void findsListedWorkersOfPoolInOrderOfRegistry() {
    assertEquals(List.of(second, first), index.listedInPool("pool"));
    assertEquals(List.of(), index.listedInPool("unknown"));
  }

  @Test
  void findsListedWorkerOnVm() {
    assertEquals(Optional.of(inOtherPool), index.listedOnVm("m-w3"));
    assertEquals(Optional.empty(), index.listedOnVm("m-w2"));
  }

  @Test
  void containsAllWorkersThatMayRunTasks() {
    assertEquals(List.of(second, first, unlisted, inOtherPool, ofJobRow), index.all());
  }
}
