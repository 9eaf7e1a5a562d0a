package org.sassafraslink.daemon.process;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
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
 */
public record FleetView(
    MemberSet members,
    long membersVersion,
    ImmutableMap<String, Versioned<VmOwnership>> vms,
    Listing listing,
    long listingReadMillis) {
  /** A VM of a pool that may take work. */
  public record Usable(Vm vm, long rowVersion) {}

  static FleetView empty() {
    return new FleetView(
        MemberSet.empty(), 0, ImmutableMap.of(), new Listing(0, ImmutableList.of()), 0);
  }

  FleetView withMembers(MemberSet next, long version) {
    return version < membersVersion
        ? this
        : new FleetView(next, version, vms, listing, listingReadMillis);
  }

  FleetView withVms(ImmutableMap<String, Versioned<VmOwnership>> next) {
    return new FleetView(members, membersVersion, next, listing, listingReadMillis);
  }

  FleetView withListing(Listing next, long readMillis) {
    return next.version() < listing.version()
        ? this
        : new FleetView(members, membersVersion, vms, next, readMillis);
  }

  /** The listed entry of a VM. */
  public Optional<Vm> listed(String id) {
    return listing.vms().stream().filter(vm -> vm.id().equals(id)).findFirst();
  }

  /** The VMs of {@code pool} that serve and are listed as live. */
  public ImmutableList<Usable> usable(String pool) {
    return listing.vms().stream()
        .filter(vm -> vm.state() == VmState.LIVE && isServing(vm.id(), pool))
        .map(vm -> new Usable(vm, vms.get(vm.id()).version()))
        .collect(ImmutableList.toImmutableList());
  }

  private boolean isServing(String vm, String pool) {
    Versioned<VmOwnership> row = vms.get(vm);
    return row != null && row.value().phase() == Phase.SERVING && row.value().pool().equals(pool);
  }
}
