package org.sassafraslink.rules.request;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.Optional;

/**
 * Decides which instance gets a request: the least loaded, one in the own zone if it costs nothing.
 */
public final class InstanceChoice {
  /** Extra load, in requests, at which an instance of the own zone is still preferred. */
  private static final double ZONE_PREFERENCE = 0.5;

  /**
   * An instance that could take the request.
   *
   * @param inFlight requests in flight to it, here and at the peers
   * @param mayUse whether a slot is free for this daemon
   * @param healthy whether recent exchanges allow work to be sent
   */
  public record Candidate(
      String vm, String zone, String address, int inFlight, boolean mayUse, boolean healthy) {}

  private InstanceChoice() {}

  /** The instance to use; empty if none may be used now. */
  public static Optional<Candidate> choose(
      ImmutableList<Candidate> candidates, String ownZone, String avoidVm) {
    Comparator<Candidate> byLoad =
        Comparator.comparingDouble(candidate -> load(candidate, ownZone, avoidVm));
    return candidates.stream()
        .filter(candidate -> candidate.mayUse() && candidate.healthy())
        .min(byLoad.thenComparing(Candidate::vm));
  }

  private static double load(Candidate candidate, String ownZone, String avoidVm) {
    double zonePenalty = candidate.zone().equals(ownZone) ? 0 : ZONE_PREFERENCE;
    // A retry goes to the instance that failed before only if there is no other.
    double avoidPenalty = candidate.vm().equals(avoidVm) ? Integer.MAX_VALUE : 0;
    return candidate.inFlight() + zonePenalty + avoidPenalty;
  }
}
