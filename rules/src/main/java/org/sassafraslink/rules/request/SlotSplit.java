package org.sassafraslink.rules.request;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;

/**
 * Decides how many of an instance's slots one daemon may use. An instance processes one request in
 * each slot.
 *
 * <p>Each daemon has a number of guaranteed slots; the guaranteed slots of all daemons add up to
 * the slots of the instance. A daemon may also use other slots that are free according to the last
 * reports of its peers. Because these reports are delayed, the daemons together may briefly use
 * more slots than the instance has. With guaranteed slots alone, they never do.
 */
public final class SlotSplit {
  private SlotSplit() {}

  /**
   * Returns the number of slots of an instance that are guaranteed to one daemon; 0 if the daemon
   * is not in {@code members}.
   *
   * @param instance the id of the instance
   * @param self the id of the daemon
   * @param members the ids of the daemons that share the slots, in any order
   * @param slots the number of slots of the instance
   */
  public static int guaranteedSlots(
      String instance, String self, ImmutableList<String> members, int slots) {
    if (!members.contains(self)) {
      return 0;
    }
    int base = slots / members.size();
    int remainder = slots % members.size();
    // The daemons that get a slot of the remainder are chosen by a hash of both ids, so that they
    // differ from instance to instance.
    ImmutableList<String> ranked =
        members.stream()
            .sorted(Comparator.comparingLong(member -> rank(instance, member)))
            .collect(ImmutableList.toImmutableList());
    return base + (ranked.indexOf(self) < remainder ? 1 : 0);
  }

  /**
   * Returns whether a daemon may send one more request to the instance.
   *
   * @param inFlight the number of requests that the daemon has in flight to the instance
   * @param inFlightOfPeers the number of requests in flight to the instance that its peers last
   *     reported
   * @param slots the number of slots of the instance
   */
  public static boolean mayUseSlot(
      int inFlight, int guaranteedSlots, int inFlightOfPeers, int slots) {
    return inFlight < guaranteedSlots || inFlight + inFlightOfPeers < slots;
  }

  private static long rank(String instance, String member) {
    return Hashing.murmur3_128()
        .hashString(instance + "/" + member, StandardCharsets.UTF_8)
        .asLong();
  }
}
