package org.sassafraslink.rules.request;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.Optional;

/**
 * Decides to which instance of a service a request is sent: to the one with the fewest requests in
 * flight, and if several have equally few, to one in the daemon's own zone.
 */
public final class InstanceChoice {
  /**
   * Added to the number of requests in flight for instances in other zones. Below 1, so that it
   * only decides between instances with the same number of requests in flight.
   */
  private static final double OTHER_ZONE_PENALTY = 0.5;

  /**
   * An instance of the service to which the request could be sent.
   *
   * @param vm the id of the VM on which the instance runs
   * @param inFlight the number of requests in flight to the instance, from this daemon and its
   *     peers
   * @param hasFreeSlot whether this daemon may use one more slot of the instance
   * @param healthy whether {@link InstanceHealth} allows a request to be sent to the instance
   */
  public record Candidate(
      String vm, String zone, String address, int inFlight, boolean hasFreeSlot, boolean healthy) {}

  private InstanceChoice() {}

  /**
   * Returns the instance to which to send the request, or empty if no healthy instance has a free
   * slot.
   *
   * @param ownZone the zone of this daemon
   * @param previousVm the VM of the failed attempt if this is a retry, otherwise empty
   */
  public static Optional<Candidate> chooseInstance(
      ImmutableList<Candidate> candidates, String ownZone, String previousVm) {
    Comparator<Candidate> byLoad =
        Comparator.comparingDouble(candidate -> effectiveLoad(candidate, ownZone, previousVm));
    return candidates.stream()
        .filter(candidate -> candidate.hasFreeSlot() && candidate.healthy())
        .min(byLoad.thenComparing(Candidate::vm));
  }

  private static double effectiveLoad(Candidate candidate, String ownZone, String previousVm) {
    double zonePenalty = candidate.zone().equals(ownZone) ? 0 : OTHER_ZONE_PENALTY;
    // A retry is sent to the instance of the failed attempt only if no other is available.
    double retryPenalty = candidate.vm().equals(previousVm) ? Integer.MAX_VALUE : 0;
    return candidate.inFlight() + zonePenalty + retryPenalty;
  }
}
