package org.sassafraslink.scheduler.workerlease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a lease that is granted while a recorded end says that there is none, and against
 * writes that change nothing.
 */
class RecordedLeaseEndsTest {
  private static final long NOW_MILLIS = 10_000;
  private static final long END_MILLIS = 15_000;
  private static final long INCARNATION = 3;

  private static long storeMillisAt(long millis) {
    return millis + 1_000_000;
  }

  private static ObservedWorker silent(String id, long leasesEndMillis) {
    return new ObservedWorker(id, INCARNATION, true, true, true, true, leasesEndMillis);
  }

  private static final ObservedWorker SILENT = silent("w", END_MILLIS);
  private static final ObservedWorker ANSWERS =
      new ObservedWorker("w", INCARNATION, false, true, true, true, END_MILLIS);
  private static final ObservedWorker NOT_ASKED =
      new ObservedWorker("w", INCARNATION, false, false, true, true, END_MILLIS);
  private static final ObservedWorker EMPTY =
      new ObservedWorker("w", INCARNATION, true, true, false, true, END_MILLIS);
  private static final ObservedWorker UNCERTAIN =
      new ObservedWorker("w", INCARNATION, true, true, true, false, END_MILLIS);
  private static final ObservedWorker LATER_INCARNATION =
      new ObservedWorker("w", INCARNATION + 1, true, true, true, true, END_MILLIS);

  private static final ImmutableMap<String, RecordedEnd> ENTRY =
      ImmutableMap.of(
          "w", new RecordedEnd(new LeaseEnd(INCARNATION, storeMillisAt(END_MILLIS)), END_MILLIS));
  private static final RecordedLeaseEnds NONE = RecordedLeaseEnds.NONE;
  private static final RecordedLeaseEnds STORED = NONE.afterSending(ENTRY).afterCommit(ENTRY);

  private static Optional<ImmutableMap<String, RecordedEnd>> due(
      RecordedLeaseEnds ends, ObservedWorker... workers) {
    return ends.due(List.of(workers), RecordedLeaseEndsTest::storeMillisAt, NOW_MILLIS);
  }

  private static Optional<Set<String>> dueIds(RecordedLeaseEnds ends, ObservedWorker... workers) {
    return due(ends, workers).map(ImmutableMap::keySet);
  }

  static Stream<Arguments> writes() {
    Optional<Set<String>> entry = Optional.of(Set.of("w"));
    Optional<Set<String>> empty = Optional.of(Set.of());
    Optional<Set<String>> nothing = Optional.empty();
    RecordedLeaseEnds sent = NONE.afterSending(ENTRY);
    RecordedLeaseEnds removalSent = STORED.afterSending(ImmutableMap.of());
    RecordedLeaseEnds ofPredecessor =
        RecordedLeaseEnds.ofPredecessor(ImmutableMap.of("w", ENTRY.get("w").end()));
    return Stream.of(
        Arguments.of("no entry, silent", NONE, SILENT, entry),
        Arguments.of("no entry, answers", NONE, ANSWERS, nothing),
        Arguments.of("no entry, not asked yet", NONE, NOT_ASKED, nothing),
        Arguments.of("no entry, no tasks", NONE, EMPTY, nothing),
        Arguments.of("no entry, end not certain", NONE, UNCERTAIN, nothing),
        Arguments.of("no entry, leases have expired", NONE, silent("w", NOW_MILLIS - 1), nothing),
        Arguments.of("outcome unknown, silent", sent, SILENT, entry),
        Arguments.of("outcome unknown, answers", sent, ANSWERS, empty),
        Arguments.of("outcome unknown, no tasks", sent, EMPTY, nothing),
        Arguments.of("entry, silent", STORED, SILENT, nothing),
        Arguments.of("entry, silent, end later", STORED, silent("w", END_MILLIS + 1), entry),
        Arguments.of("entry, silent, end earlier", STORED, silent("w", END_MILLIS - 1), nothing),
        Arguments.of("entry, answers", STORED, ANSWERS, empty),
        Arguments.of("entry, not asked yet", STORED, NOT_ASKED, nothing),
        Arguments.of("entry, no tasks", STORED, EMPTY, nothing),
        Arguments.of("entry, end not certain", STORED, UNCERTAIN, empty),
        Arguments.of("entry of an earlier incarnation", STORED, LATER_INCARNATION, entry),
        Arguments.of("removal unknown, answers", removalSent, ANSWERS, empty),
        Arguments.of("removal unknown, silent again", removalSent, SILENT, nothing),
        Arguments.of("entry of predecessor, not asked yet", ofPredecessor, NOT_ASKED, entry),
        Arguments.of("entry of predecessor, silent", ofPredecessor, SILENT, entry),
        Arguments.of("entry of predecessor, answers", ofPredecessor, ANSWERS, empty),
        Arguments.of("entry of predecessor, no tasks", ofPredecessor, EMPTY, nothing));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("writes")
  void writesOnlyWhatIsNeeded(
      String name,
      RecordedLeaseEnds ends,
      ObservedWorker worker,
      Optional<Set<String>> expectedEntries) {
    assertEquals(expectedEntries, dueIds(ends, worker));
  }

  @Test
  void entryHoldsEndByTheClockOfTheStore() {
    assertEquals(Optional.of(ENTRY), due(NONE, SILENT));
  }

  /** Guards against an end that moves with each takeover. */
  @Test
  void entryOfPredecessorIsCarriedOnAsItIs() {
    LeaseEnd end = new LeaseEnd(INCARNATION, 77);
    RecordedLeaseEnds read = RecordedLeaseEnds.ofPredecessor(ImmutableMap.of("w", end));
    assertEquals(Optional.of(end), read.dueOfPredecessor().map(due -> due.get("w").end()));
    RecordedLeaseEnds applied = read.afterApplying("w", END_MILLIS);
    assertEquals(Optional.of(end), due(applied, SILENT).map(due -> due.get("w").end()));
    assertEquals(Optional.of(end), read.endOf("w", INCARNATION));
    assertEquals(Optional.empty(), read.endOf("w", INCARNATION + 1));
  }

  @Test
  void rowOfThisEpochIsNotCarriedOn() {
    assertEquals(Optional.empty(), STORED.dueOfPredecessor());
    assertEquals(
        Optional.empty(), RecordedLeaseEnds.ofPredecessor(ImmutableMap.of()).dueOfPredecessor());
  }

  @Test
  void writeForAnotherWorkerDropsEntriesWithoutUse() {
    assertEquals(Optional.of(Set.of("v")), dueIds(STORED, EMPTY, silent("v", END_MILLIS)));
  }

  @Test
  void leaseIsWithheldFromSendingUntilRemovalIsCommitted() {
    assertFalse(NONE.withholds("w"));
    RecordedLeaseEnds sent = NONE.afterSending(ENTRY);
    assertTrue(sent.withholds("w"));
    RecordedLeaseEnds stored = sent.afterCommit(ENTRY);
    assertTrue(stored.withholds("w"));
    RecordedLeaseEnds removalSent = stored.afterSending(ImmutableMap.of());
    assertTrue(removalSent.withholds("w"));
    assertFalse(removalSent.afterCommit(ImmutableMap.of()).withholds("w"));
    assertTrue(removalSent.afterLateCommit(ImmutableMap.of("w", end())).withholds("w"));
    assertFalse(removalSent.afterLateCommit(ImmutableMap.of()).withholds("w"));
  }

  private static LeaseEnd end() {
    return new LeaseEnd(INCARNATION, 1);
  }

  /** Guards against a row that the store rejects for its size. */
  @Test
  void rowIsBounded() {
    ObservedWorker[] workers =
        IntStream.range(0, 2_000)
            .mapToObj(i -> silent("worker-" + i, END_MILLIS))
            .toArray(ObservedWorker[]::new);
    ImmutableMap<String, RecordedEnd> first = due(NONE, workers).orElseThrow();
    RecordedLeaseEnds stored = NONE.afterSending(first).afterCommit(first);
    assertTrue(first.size() > 400, first.size() + " entries");
    assertEquals(Optional.empty(), due(stored, workers));
    LeaseEndRow row =
        new LeaseEndRow(
            1,
            first.entrySet().stream()
                .collect(
                    ImmutableMap.toImmutableMap(
                        entry -> entry.getKey(), entry -> entry.getValue().end())));
    assertTrue(row.encode().length() < 40_000, row.encode().length() + " characters");
    assertEquals(ImmutableSet.copyOf(first.keySet()), row.endByWorker().keySet());
  }
}
