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
 * What a daemon knows of the registered daemons, the VMs and their pools, from its latest reads of
 * the store and the platform and from its peers.
 *
 * <p>The {@code with} methods return a view with newer information added. Rows and lists that are
 * older than the known ones are ignored.
 *
 * @param members the registered daemons
 * @param membersVersion the version of the row from which {@code members} was read
 * @param ownershipByVm the ownership rows, by VM id
 * @param listing the platform's list of VMs
 * @param listingReadMillis monotonic time at which the read of {@code listing} began, in ms
 * @param announcedDrains the VMs whose drain a planner has announced but whose known rows do not
 *     show it yet, with the monotonic time of the announcement in ms
 * @param leavingAtPeers the VMs that are leaving according to the last peer that answered; used
 *     only while {@code listing} is outdated
 */
public record FleetView(
    MemberSet members,
    long membersVersion,
    ImmutableMap<String, Versioned<VmOwnership>> ownershipByVm,
    Listing listing,
    long listingReadMillis,
    ImmutableMap<String, Long> announcedDrains,
    ImmutableSet<String> leavingAtPeers) {
  /**
   * Age at which an announced drain is dropped if the VM's row still does not show the drain, in
   * ms.
   */
  private static final long ANNOUNCED_DRAIN_MAX_AGE_MILLIS = 10_000;

  /**
   * Age above which {@link #listing} is outdated, in ms. From then on, no new work is sent to VMs
   * that are leaving according to a peer.
   */
  private static final long LISTING_MAX_AGE_MILLIS = 3_000;

  /**
   * A VM to which new work may be sent.
   *
   * @param rowVersion the version of the VM's ownership row
   */
  public record UsableVm(Vm vm, long rowVersion) {}

  /** Returns the view before anything was read. */
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

  /**
   * Returns this view with the members of a row, unless a newer row is known.
   *
   * @param version the version of the row
   */
  FleetView withMembers(MemberSet next, long version) {
    return version < membersVersion
        ? this
        : new FleetView(
            next,
            version,
            ownershipByVm,
            listing,
            listingReadMillis,
            announcedDrains,
            leavingAtPeers);
  }

  /**
   * Returns this view with the result of a scan of all ownership rows, and without announced drains
   * older than {@value #ANNOUNCED_DRAIN_MAX_AGE_MILLIS} ms.
   *
   * @param scanned the rows, by VM id
   * @param startedMillis monotonic time at which the scan began, in ms
   */
  FleetView withScannedRows(
      ImmutableMap<String, Versioned<VmOwnership>> scanned, long startedMillis) {
    long scanVersion = maxRowVersion(scanned);
    Map<String, Versioned<VmOwnership>> next = new LinkedHashMap<>(scanned);
    // A row received from a peer may be newer than the scan. A known row that is missing from the
    // scan was deleted, unless it is newer than every scanned row.
    ownershipByVm.forEach((vm, row) -> putIfNewer(next, vm, row, scanVersion));
    Map<String, Long> drains = new LinkedHashMap<>(announcedDrains);
    drains
        .values()
        .removeIf(atMillis -> startedMillis - atMillis >= ANNOUNCED_DRAIN_MAX_AGE_MILLIS);
    return withOwnershipAndAnnouncedDrains(next, drains);
  }

  /** Returns this view with those ownership rows of a peer that are newer than the known ones. */
  public FleetView withPeerRows(Map<String, Versioned<VmOwnership>> peerRows) {
    Map<String, Versioned<VmOwnership>> next = new LinkedHashMap<>(ownershipByVm);
    peerRows.forEach((vm, row) -> putIfNewer(next, vm, row, 0));
    return withOwnershipAndAnnouncedDrains(next, announcedDrains);
  }

  /**
   * Returns this view with VMs whose drain a planner has announced, so that they get no new work.
   *
   * @param drains the monotonic time of the announcement in ms, by VM id
   */
  public FleetView withAnnouncedDrains(Map<String, Long> drains) {
    Map<String, Long> next = new LinkedHashMap<>(announcedDrains);
    drains.forEach((vm, atMillis) -> next.merge(vm, atMillis, Math::max));
    return withOwnershipAndAnnouncedDrains(ownershipByVm, next);
  }

  /** Returns this view with the VMs that are leaving according to a peer. */
  public FleetView withLeavingAtPeers(Iterable<String> leaving) {
    return new FleetView(
        members,
        membersVersion,
        ownershipByVm,
        listing,
        listingReadMillis,
        announcedDrains,
        ImmutableSet.copyOf(leaving));
  }

  private FleetView withOwnershipAndAnnouncedDrains(
      Map<String, Versioned<VmOwnership>> nextOwnership, Map<String, Long> nextDrains) {
    Map<String, Long> drains = new LinkedHashMap<>(nextDrains);
    // Once the row shows that the VM is not serving, the announcement is no longer needed.
    drains
        .keySet()
        .removeIf(vm -> nextOwnership.containsKey(vm) && !isServing(nextOwnership.get(vm).value()));
    return new FleetView(
        members,
        membersVersion,
        ImmutableMap.copyOf(nextOwnership),
        listing,
        listingReadMillis,
        ImmutableMap.copyOf(drains),
        leavingAtPeers);
  }

  /** Returns the highest version of the known ownership rows, or 0 if none is known. */
  public long maxOwnershipRowVersion() {
    return maxRowVersion(ownershipByVm);
  }

  private static long maxRowVersion(Map<String, Versioned<VmOwnership>> rows) {
    return rows.values().stream().mapToLong(Versioned::version).max().orElse(0);
  }

  /**
   * Puts {@code row} into {@code rows} if it is newer than the row of the VM there, or, if there is
   * none, newer than {@code minVersionExclusive}.
   */
  private static void putIfNewer(
      Map<String, Versioned<VmOwnership>> rows,
      String vm,
      Versioned<VmOwnership> row,
      long minVersionExclusive) {
    Versioned<VmOwnership> known = rows.get(vm);
    boolean isNewer =
        known == null ? row.version() > minVersionExclusive : row.version() > known.version();
    if (isNewer) {
      rows.put(vm, row);
    }
  }

  /**
   * Returns this view with a list of VMs, unless a newer list is known.
   *
   * @param startedMillis monotonic time at which the read of the list began, in ms
   */
  FleetView withListing(Listing next, long startedMillis) {
    return next.version() < listing.version()
        ? this
        : new FleetView(
            members,
            membersVersion,
            ownershipByVm,
            next,
            startedMillis,
            announcedDrains,
            leavingAtPeers);
  }

  /** Returns the entry of a VM in the platform's list, or empty if the VM is not listed. */
  public Optional<Vm> findListedVm(String id) {
    return listing.vms().stream().filter(vm -> vm.id().equals(id)).findFirst();
  }

  /** Returns the ids of the VMs that have a pool but are not listed as live. */
  public ImmutableSet<String> leavingVms() {
    ImmutableSet.Builder<String> leaving = ImmutableSet.builder();
    for (String vm : ownershipByVm.keySet()) {
      if (findListedVm(vm).filter(found -> found.state() == VmState.LIVE).isEmpty()) {
        leaving.add(vm);
      }
    }
    return leaving.build();
  }

  /** Returns whether the platform's list was read recently enough to rely on it. */
  public boolean isListingFresh(long nowMillis) {
    return nowMillis - listingReadMillis <= LISTING_MAX_AGE_MILLIS;
  }

  /**
   * Returns the VMs of {@code pool} to which new work may be sent: they serve the pool, are listed
   * as live and have no announced drain.
   */
  public ImmutableList<UsableVm> usableVms(String pool, long nowMillis) {
    boolean isListingFresh = isListingFresh(nowMillis);
    return listing.vms().stream()
        .filter(vm -> vm.state() == VmState.LIVE && isServing(vm.id(), pool))
        .filter(vm -> !announcedDrains.containsKey(vm.id()))
        .filter(vm -> isListingFresh || !leavingAtPeers.contains(vm.id()))
        .map(vm -> new UsableVm(vm, ownershipByVm.get(vm.id()).version()))
        .collect(ImmutableList.toImmutableList());
  }

  private boolean isServing(String vm, String pool) {
    Versioned<VmOwnership> row = ownershipByVm.get(vm);
    return row != null && isServing(row.value()) && row.value().pool().equals(pool);
  }

  private static boolean isServing(VmOwnership row) {
    return row.phase() == Phase.SERVING;
  }
}
