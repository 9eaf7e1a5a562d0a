package org.sassafraslink.rules.request;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;

/**
 * Decides how many of an instance's slots one daemon may use.
 *
 * <p>Each daemon has a guaranteed part; the parts of all daemons add up to the slots. Above it, a
 * daemon may use what the last reports of its peers leave free. Reports lag, so this can exceed the
 * slots for as long as a report takes; the guaranteed parts alone never do.
 */
public final class SlotSplit {
  private SlotSplit() {}

  /** The guaranteed part of {@code self} among {@code members} in the slots of {@code instance}. */
  public static int guaranteed(
      String instance, String self, ImmutableList<String> members, int slots) {
    if (!members.contains(self)) {
      return 0;
    }
    int base = slots / members.size();
    int rest = slots % members.size();
    // Ranking by a hash of both names spreads the remainder evenly over daemons and instances.
    ImmutableList<String> ranked =
        members.stream()
            .sorted(Comparator.comparingLong(member -> rank(instance, member)))
            .collect(ImmutableList.toImmutableList());
    return base + (ranked.indexOf(self) < rest ? 1 : 0);
  }

  /** Whether one more request may be sent to the instance. */
  public static boolean mayUse(int own, int guaranteed, int inFlightOfPeers, int slots) {
    return own < guaranteed || own + inFlightOfPeers < slots;
  }

  private static long rank(String instance, String member) {
    return Hashing.murmur3_128()
        .hashString(instance + "/" + member, StandardCharsets.UTF_8)
        .asLong();
  }
}
