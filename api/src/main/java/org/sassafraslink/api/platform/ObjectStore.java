package org.sassafraslink.api.platform;

import io.vavr.control.Either;
import java.util.Optional;

/** The platform's store of immutable objects, each named by the digest of its content. */
public interface ObjectStore {
  /** Stores {@code content} under {@code digest}; storing the same object again is harmless. */
  Either<PlatformFailure, String> put(String digest, String content);

  /** Reads an object; empty if it is absent. */
  Either<PlatformFailure, Optional<String>> get(String digest);
}
