package org.sassafraslink.api.platform;

import io.vavr.control.Either;
import java.util.Optional;

/**
 * Client of the platform's store of immutable objects, whose names are digests of their content.
 */
public interface ObjectStore {
  /**
   * Stores {@code content} under the name {@code digest}, and returns {@code digest}. Storing the
   * same object again has no effect.
   */
  Either<PlatformFailure, String> put(String digest, String content);

  /** Reads the object with the name {@code digest}; empty if it is absent. */
  Either<PlatformFailure, Optional<String>> get(String digest);
}
