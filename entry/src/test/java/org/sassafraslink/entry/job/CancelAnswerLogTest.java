package org.sassafraslink.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.entry.job.LateRowStore.Behavior;
import org.sassafraslink.scheduler.JobRows;
import org.sassafraslink.scheduler.JobRows.Kind;

/** Guards against answers to a cancelling that leave no line to tell what they rest on. */
class CancelAnswerLogTest {
  private static final String JOB_ID = "5c0e7a21d94b36f8";

  private final EntryVms vms = EntryVms.start(1);
  private final List<Map<String, Object>> answers = new ArrayList<>();

  @BeforeEach
  void recordAnswers() {
    vms.eventObserver =
        (event, fields) -> {
          if (event.equals("job.cancel_answered")) {
            ImmutableMap.Builder<String, Object> byName = ImmutableMap.builder();
            for (int i = 0; i < fields.length; i += 2) {
              byName.put((String) fields[i], fields[i + 1]);
            }
            answers.add(byName.buildOrThrow());
          }
        };
  }

  private static RowKey key(Kind kind) {
    return JobRows.key(JOB_ID, kind);
  }

  private void putFinal(String state) {
    vms.store.put(key(Kind.FINAL), "{\"state\":\"" + state + "\"}");
  }

  private void assertOnlyAnswer(String result, String state, String proof, int tries) {
    assertEquals(1, answers.size(), answers.toString());
    Map<String, Object> answer = answers.get(0);
    assertEquals(JOB_ID, answer.get("job"));
    assertEquals(
        List.of(result, state, proof, String.valueOf(tries)),
        List.of(
            answer.get("result").toString(),
            answer.get("state"),
            answer.get("proof").toString(),
            answer.get("tries").toString()));
  }

  @Test
  void cancellationIsCommitted() {
    vms.submit(0, JOB_ID);
    vms.cancel(0, JOB_ID);
    assertOnlyAnswer("CANCELLED", "QUEUED", "COMMIT", 1);
    assertEquals(vms.store.versionOf(key(Kind.CANCELLATION)), answers.get(0).get("version"));
  }

  @Test
  void cancelledIdIsCommitted() {
    vms.cancel(0, JOB_ID);
    assertOnlyAnswer("NO_SUCH_JOB", "NONE", "COMMIT", 1);
    assertEquals(vms.store.versionOf(key(Kind.ENDED)), answers.get(0).get("version"));
  }

  @ParameterizedTest
  @CsvSource({
    "CANCELLED, CANCELLED",
    "COMPLETED, NO_SUCH_JOB",
    "FAILED, NO_SUCH_JOB",
  })
  void finalStateIsRead(String state, String result) {
    putFinal(state);
    vms.cancel(0, JOB_ID);
    assertOnlyAnswer(result, state, "READ", 1);
    assertEquals(vms.store.versionOf(key(Kind.FINAL)), answers.get(0).get("version"));
  }

  @Test
  void cancellingIsRepeated() {
    vms.submit(0, JOB_ID);
    vms.cancel(0, JOB_ID);
    answers.clear();
    vms.cancel(0, JOB_ID);
    assertOnlyAnswer("CANCELLED", "CANCELLED", "READ", 1);
  }

  @Test
  void cancelledIdIsRead() {
    vms.cancel(0, JOB_ID);
    answers.clear();
    vms.cancel(0, JOB_ID);
    assertOnlyAnswer("NO_SUCH_JOB", "CANCELLED_ID", "READ", 1);
  }

  @Test
  void jobEndsBeforeTheCancellationIsCommitted() {
    vms.submit(0, JOB_ID);
    vms.store.setBeforeNextCommit(() -> putFinal("COMPLETED"));
    vms.cancel(0, JOB_ID);
    assertOnlyAnswer("NO_SUCH_JOB", "COMPLETED", "READ", 2);
  }

  @ParameterizedTest
  @CsvSource({
    "SILENT, OUTCOME_UNKNOWN, 7",
    "REJECTS_CALLS, NOT_PERFORMED, 1",
  })
  void storeDoesNotAnswer(Behavior behavior, String result, int tries) {
    vms.store.setBehavior(behavior);
    vms.cancel(0, JOB_ID);
    assertOnlyAnswer(result, "UNREAD", "NONE", tries);
  }

  @Test
  void tooManyIdsAreCancelled() {
    for (int i = 0; i < 100; i++) {
      vms.cancel(0, String.format(Locale.ROOT, "%016x", i));
    }
    answers.clear();
    vms.cancel(0, JOB_ID);
    assertOnlyAnswer("LIMITED", "NONE", "NONE", 1);
  }
}
