package org.sassafraslink.rules.request;

import io.vavr.control.Either;
import java.util.Optional;
import org.sassafraslink.api.Digests;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.failure.FailureType;
import org.sassafraslink.api.model.FleetConfig;
import org.sassafraslink.api.model.FleetConfig.TeamAndKey;

/**
 * Identifies the team of a request by its key.
 *
 * <p>A caller cannot name a team; the request belongs to the team that holds its key. A request
 * without a key belongs to no team, and only an open queue accepts it.
 */
public final class KeyCheck {
  private KeyCheck() {}

  /**
   * Identifies the team of a request.
   *
   * @param key the key in the request; empty if it has none
   * @return the name of the team that holds {@code key}, or empty if the request has no key and the
   *     queue is open. Fails with {@link FailureType#KEY_MISSING} if the request has no key and the
   *     queue is not open, and with {@link FailureType#KEY_REJECTED} if no team holds the key.
   */
  public static Either<Failure, Optional<String>> identifyTeam(
      FleetConfig config, Optional<String> key, boolean isOpenQueue) {
    if (key.isEmpty()) {
      return isOpenQueue
          ? Either.right(Optional.empty())
          : Either.left(Failure.of(FailureType.KEY_MISSING, "This queue requires a team's key."));
    }
    return config
        .keyById(publicId(key.get()))
        .filter(found -> Digests.matches(found.key().digest(), Digests.of(key.get())))
        .map(TeamAndKey::team)
        .<Either<Failure, Optional<String>>>map(team -> Either.right(Optional.of(team.name())))
        .orElseGet(
            () -> Either.left(Failure.of(FailureType.KEY_REJECTED, "No team holds this key.")));
  }

  /**
   * Returns the public id of a key, which is the part before its first dot and may be shown and
   * logged. Returns an empty string if the key has no dot.
   */
  public static String publicId(String key) {
    int dot = key.indexOf('.');
    return dot < 0 ? "" : key.substring(0, dot);
  }
}
