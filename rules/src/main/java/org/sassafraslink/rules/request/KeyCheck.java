package org.sassafraslink.rules.request;

import io.vavr.control.Either;
import java.util.Optional;
import org.sassafraslink.api.Digests;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.failure.FailureType;
import org.sassafraslink.api.model.FleetConfig;
import org.sassafraslink.api.model.FleetConfig.TeamAndKey;

/**
 * Decides for which team a request is taken.
 *
 * <p>The team is the one whose key came with the request, never one that the caller names. A queue
 * that is open to all takes work without a key, for no team.
 */
public final class KeyCheck {
  private KeyCheck() {}

  /** The team of a request, empty for work without a key on an open queue. */
  public static Either<Failure, Optional<String>> check(
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

  /** The part of a key in front of its dot, which may be shown and logged. */
  public static String publicId(String key) {
    int dot = key.indexOf('.');
    return dot < 0 ? "" : key.substring(0, dot);
  }
}
