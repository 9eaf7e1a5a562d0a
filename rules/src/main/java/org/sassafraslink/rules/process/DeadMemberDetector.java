package org.sassafraslink.rules.process;

import com.google.common.collect.ImmutableMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.sassafraslink.api.platform.VmList.Listing;
import org.sassafraslink.api.platform.VmList.Vm;
import org.sassafraslink.rules.process.MemberSet.Member;

/**
 * Decides which members, which are registered entry daemons, are dead. It decides this from the
 * platform's list of VMs.
 *
 * <p>A daemon is dead if its VM is listed with a newer incarnation than the one in which the daemon
 * started, or if its VM was listed and has since been absent from every list that was read for
 * {@code minAbsenceMillis}. An expired lease does not prove that its holder is dead, because the
 * holder may only be paused and resume later. A single list without the VM proves nothing either,
 * because the list may be out of date and VMs may temporarily disappear from it.
 *
 * @param minAbsenceMillis how long a VM must be absent from the list before its daemon counts as
 *     dead, in ms
 * @param listedIncarnations the last listed incarnation of each VM that was ever listed, by VM id
 * @param absentSinceMillis when the first list without the VM was read, by the id of each VM that
 *     is missing from the latest list
 */
public record DeadMemberDetector(
    long minAbsenceMillis,
    ImmutableMap<String, Long> listedIncarnations,
    ImmutableMap<String, Long> absentSinceMillis) {
  /** Returns the state before any list has been read. */
  public static DeadMemberDetector create(long minAbsenceMillis) {
    return new DeadMemberDetector(minAbsenceMillis, ImmutableMap.of(), ImmutableMap.of());
  }

  /** Returns the state after {@code listing} was read at {@code nowMillis}. */
  public DeadMemberDetector applyListing(Listing listing, long nowMillis) {
    Map<String, Long> nextListed = new LinkedHashMap<>(listedIncarnations);
    listing.vms().forEach(vm -> nextListed.put(vm.id(), vm.incarnation()));
    Map<String, Long> nextAbsent = new LinkedHashMap<>();
    for (String vm : nextListed.keySet()) {
      if (findVm(listing, vm).isEmpty()) {
        nextAbsent.put(vm, absentSinceMillis.getOrDefault(vm, nowMillis));
      }
    }
    return new DeadMemberDetector(
        minAbsenceMillis, ImmutableMap.copyOf(nextListed), ImmutableMap.copyOf(nextAbsent));
  }

  /** Returns whether {@code member} is known to be dead at {@code nowMillis}. */
  public boolean isDead(Member member, long nowMillis) {
    long listedIncarnation = listedIncarnations.getOrDefault(member.vm(), 0L);
    if (listedIncarnation > member.vmIncarnation()) {
      return true;
    }
    // The absence of an earlier incarnation proves nothing about a daemon that started in a later
    // one.
    boolean wasIncarnationListed =
        listedIncarnations.getOrDefault(member.vm(), 0L) >= member.vmIncarnation();
    Long absentSince = absentSinceMillis.get(member.vm());
    return wasIncarnationListed
        && absentSince != null
        && nowMillis - absentSince >= minAbsenceMillis;
  }

  private static Optional<Vm> findVm(Listing listing, String id) {
    return listing.vms().stream().filter(vm -> vm.id().equals(id)).findFirst();
  }
}
