package org.sassafraslink.daemon.process;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.sassafraslink.api.platform.VmList.Listing;
import org.sassafraslink.api.platform.VmList.Vm;
import org.sassafraslink.api.platform.VmList.VmState;
import org.sassafraslink.rules.process.MemberSet;
import org.sassafraslink.rules.process.VmOwnership;
import org.sassafraslink.rules.process.VmOwnership.Phase;

/**
 * What a process last read of members, VMs and their pools.
 *
 * @param listingReadMillis monotonic time at which the list was read
 * @param announcedDrains VMs that a planner is about to drain, with the time of the announcement
 * @param leavingAtPeers VMs that peers with a later list say are leaving
 */
public record FleetView(
    MemberSet members,
    long membersVersion,
    ImmutableMap<String, Versioned<VmOwnership>> vms,
    Listing listing,
    long listingReadMillis,
    ImmutableMap<String, Long> announcedDrains,
    ImmutableSet<String> leavingAtPeers) {
  /** Age at which an announced drain that no row shows is forgotten, in ms. */
  private static final long ANNOUNCED_DRAIN_MILLIS = 10_000;

  /** Age above which the own list gives way to what peers say of leaving VMs, in ms. */
  private static final long LISTING_MAX_AGE_MILLIS = 3_000;

  /** A VM of a pool that may take work. */
  public record Usable(Vm vm, long rowVersion) {}

  static FleetView empty() {
    return new FleetView(
        MemberSet.empty(),
        0,
        ImmutableMap.of(),
        new Listing(0, ImmutableList.of()),
        0,
        ImmutableMap.of(),
        ImmutableSet.of());
  }

  FleetView withMembers(MemberSet next, long version) {
    return version < membersVersion
        ? this
        : new FleetView(
            next, version, vms, listing, listingReadMillis, announcedDrains, leavingAtPeers);
  }

  /** Takes in a scan of all rows that began at {@code startedMillis}. */
  FleetView withScan(ImmutableMap<String, Versioned<VmOwnership>> scanned, long startedMillis) {
    long scanVersion = maxVersion(scanned);
    Map<String, Versioned<VmOwnership>> next = new LinkedHashMap<>(scanned);
    // A row that a peer told may be newer than the scan; an older one that it lacks was deleted.
    vms.forEach((vm, row) -> keepIfNewer(next, vm, row, scanVersion));
    Map<String, Long> drains = new LinkedHashMap<>(announcedDrains);
    drains.values().removeIf(at -> startedMillis - at >= ANNOUNCED_DRAIN_MILLIS);
    return withVmsAndDrains(next, drains);
  }

  /** Takes in rows that a peer told. */
  public FleetView withRows(Map<String, Versioned<VmOwnership>> told) {
    Map<String, Versioned<VmOwnership>> next = new LinkedHashMap<>(vms);
    told.forEach((vm, row) -> keepIfNewer(next, vm, row, 0));
    return withVmsAndDrains(next, announcedDrains);
  }

  /** Takes in VMs that are about to be drained, with the time of the announcement. */
  public FleetView withAnnouncedDrains(Map<String, Long> drains) {
    Map<String, Long> next = new LinkedHashMap<>(announcedDrains);
    drains.forEach((vm, at) -> next.merge(vm, at, Math::max));
    return withVmsAndDrains(vms, next);
  }

  /** Takes in which VMs a peer says are leaving. */
  public FleetView withLeavingAtPeers(Iterable<String> leaving) {
    return new FleetView(
        members,
        membersVersion,
        vms,
        listing,
        listingReadMillis,
        announcedDrains,
        ImmutableSet.copyOf(leaving));
  }

  private FleetView withVmsAndDrains(
      Map<String, Versioned<VmOwnership>> nextVms, Map<String, Long> nextDrains) {
    Map<String, Long> drains = new LinkedHashMap<>(nextDrains);
    // From here on the row says what the announcement said.
    drains.keySet().removeIf(vm -> nextVms.containsKey(vm) && !isServing(nextVms.get(vm).value()));
    return new FleetView(
        members,
        membersVersion,
        ImmutableMap.copyOf(nextVms),
        listing,
        listingReadMillis,
        ImmutableMap.copyOf(drains),
        leavingAtPeers);
  }

  /** The highest version of a VM row that is known. */
  public long vmsVersion() {
    return maxVersion(vms);
  }

  private static long maxVersion(Map<String, Versioned<VmOwnership>> rows) {
    return rows.values().stream().mapToLong(Versioned::version).max().orElse(0);
  }

  private static void keepIfNewer(
      Map<String, Versioned<VmOwnership>> rows,
      String vm,
      Versioned<VmOwnership> row,
      long aboveVersion) {
    Versioned<VmOwnership> known = rows.get(vm);
    boolean isNewer =
        known == null ? row.version() > aboveVersion : row.version() > known.version();
    if (isNewer) {
      rows.put(vm, row);
    }
  }

  FleetView withListing(Listing next, long readMillis) {
    return next.version() < listing.version()
        ? this
        : new FleetView(
            members, membersVersion, vms, next, readMillis, announcedDrains, leavingAtPeers);
  }

  /** The listed entry of a VM. */
  public Optional<Vm> listed(String id) {
    return listing.vms().stream().filter(vm -> vm.id().equals(id)).findFirst();
  }

  /** The VMs that are listed as leaving, or have a pool and are not listed. */
  public ImmutableSet<String> leaving() {
    ImmutableSet.Builder<String> leaving = ImmutableSet.builder();
    for (String vm : vms.keySet()) {
      if (listed(vm).filter(found -> found.state() == VmState.LIVE).isEmpty()) {
        leaving.add(vm);
      }
    }
    return leaving.build();
  }

  /** Whether the list was read lately. */
  public boolean isListingFresh(long nowMillis) {
    return nowMillis - listingReadMillis <= LISTING_MAX_AGE_MILLIS;
  }

  /** The VMs of {@code pool} that serve and are listed as live. */
  public ImmutableList<Usable> usable(String pool, long nowMillis) {
    boolean trustsList = isListingFresh(nowMillis);
    return listing.vms().stream()
        .filter(vm -> vm.state() == VmState.LIVE && isServing(vm.id(), pool))
        .filter(vm -> !announcedDrains.containsKey(vm.id()))
        .filter(vm -> trustsList || !leavingAtPeers.contains(vm.id()))
        .map(vm -> new Usable(vm, vms.get(vm.id()).version()))
        .collect(ImmutableList.toImmutableList());
  }

  private boolean isServing(String vm, String pool) {
    Versioned<VmOwnership> row = vms.get(vm);
    return row != null && isServing(row.value()) && row.value().pool().equals(pool);
  }

  private static boolean isServing(VmOwnership row) {
    return row.phase() == Phase.SERVING;
  }
}
