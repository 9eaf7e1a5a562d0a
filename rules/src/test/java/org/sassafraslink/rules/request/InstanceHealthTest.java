package org.sassafraslink.rules.request;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

final class InstanceHealthTest {
  private static InstanceHealth failed(int times) {
    InstanceHealth health = InstanceHealth.healthy();
    for (int i = 0; i < times; i++) {
      health = health.onFailure(1_000);
    }
    return health;
  }

  @Test
  void fewFailuresDoNotQuarantine() {
    assertTrue(failed(2).maySend(1_000));
  }

  @Test
  void quarantineEndsWithOneProbeAtATime() {
    InstanceHealth quarantined = failed(3);

    assertFalse(quarantined.maySend(1_499));
    assertTrue(quarantined.maySend(1_500));
    assertFalse(quarantined.onSend().maySend(1_500));
    assertTrue(quarantined.onSend().onSuccess().maySend(1_500));
  }

  @Test
  void quarantineDoublesUpToABound() {
    assertFalse(failed(4).maySend(1_999));
    assertTrue(failed(4).maySend(2_000));
    assertTrue(failed(40).maySend(1_000 + InstanceHealth.MAX_QUARANTINE_MILLIS));
  }
}
