package org.sassafraslink.rules.process;

import com.google.common.collect.ImmutableMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.sassafraslink.api.platform.VmList.Listing;
import org.sassafraslink.api.platform.VmList.Vm;
import org.sassafraslink.rules.process.MemberSet.Member;

/**
 * Decides which registered daemons are certainly dead.
 *
 * <p>A lease that lapsed proves nothing: its holder may be paused and wake. The proofs are a newer
 * incarnation of the same VM, and a VM that was listed and then is absent from each list read
 * during {@code absenceMillis}. A single list without the VM proves nothing either, since the list
 * lags and may flap.
 */
public record DeathProof(
    long absenceMillis, ImmutableMap<String, Long> seen, ImmutableMap<String, Long> absentSince) {
  /** Creates a proof that has seen no list yet. */
  public static DeathProof create(long absenceMillis) {
    return new DeathProof(absenceMillis, ImmutableMap.of(), ImmutableMap.of());
  }

  /** Takes in a list that was read at {@code nowMillis}. */
  public DeathProof observe(Listing listing, long nowMillis) {
    Map<String, Long> nextSeen = new LinkedHashMap<>(seen);
    listing.vms().forEach(vm -> nextSeen.put(vm.id(), vm.incarnation()));
    Map<String, Long> nextAbsent = new LinkedHashMap<>();
    for (String vm : nextSeen.keySet()) {
      if (find(listing, vm).isEmpty()) {
        nextAbsent.put(vm, absentSince.getOrDefault(vm, nowMillis));
      }
    }
    return new DeathProof(
        absenceMillis, ImmutableMap.copyOf(nextSeen), ImmutableMap.copyOf(nextAbsent));
  }

  /** Whether {@code member} is certainly dead at {@code nowMillis}. */
  public boolean isDead(Member member, long nowMillis) {
    long listedIncarnation = seen.getOrDefault(member.vm(), 0L);
    if (listedIncarnation > member.vmIncarnation()) {
      return true;
    }
    // A process of a later incarnation than was listed started after the list lost the VM.
    boolean wasListed = seen.getOrDefault(member.vm(), 0L) >= member.vmIncarnation();
    Long since = absentSince.get(member.vm());
    return wasListed && since != null && nowMillis - since >= absenceMillis;
  }

  private static Optional<Vm> find(Listing listing, String id) {
    return listing.vms().stream().filter(vm -> vm.id().equals(id)).findFirst();
  }
}
