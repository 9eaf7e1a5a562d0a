package org.sassafraslink.entry.longrunning;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.entry.longrunning.LongRunningPlay.Result;
import org.sassafraslink.entry.longrunning.LostWorkerPlay.Options;

/** Guards against a wait for the leases of a lost worker that begins anew with a takeover. */
class LostWorkerSoakTest {
  @TempDir private Path folder;

  @ParameterizedTest
  @ValueSource(longs = 1)
  void tasksRunAgainInTimeBesideTakeovers(long seed) throws Exception {
    Result result =
        LostWorkerPlay.play(new Options(seed, /* daemons= */ 3, /* rounds= */ 1), folder);
    assertEquals(List.of(), result.breaks(), result.summary());
  }
}
