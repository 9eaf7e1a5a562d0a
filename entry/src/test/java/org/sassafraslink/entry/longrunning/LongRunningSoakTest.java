package org.sassafraslink.entry.longrunning;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.entry.longrunning.LongRunningPlay.Options;
import org.sassafraslink.entry.longrunning.LongRunningPlay.Result;

/** Guards against long-running tasks that stay away although their pool has room for them. */
class LongRunningSoakTest {
  @TempDir private Path folder;

  @ParameterizedTest
  @ValueSource(longs = 600)
  void tasksRunAgainInTimeBesideWaveAndPeaks(long seed) throws Exception {
    Result result =
        LongRunningPlay.play(
            new Options(
                seed, /* daemons= */ 3, /* trafficMillis= */ 15_000, /* restMillis= */ 5_000),
            folder);
    assertEquals(List.of(), result.breaks(), result.summary());
  }
}
