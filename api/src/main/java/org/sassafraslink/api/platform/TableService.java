package org.sassafraslink.api.platform;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.Optional;

/** Client of the platform's transactional table service. */
public interface TableService {
  /** Reads the row with {@code key}; empty if it is absent. */
  Either<PlatformFailure, Optional<Row>> read(String key);

  /** Reads all rows whose key starts with {@code prefix}, in the order of their keys. */
  Either<PlatformFailure, ImmutableList<Row>> scan(String prefix);

  /**
   * Commits a transaction and returns the version of all rows that it wrote. Fails with {@link
   * PlatformFailure.Conflict} if a check does not hold.
   */
  Either<PlatformFailure, Long> commit(Transaction transaction);
}
