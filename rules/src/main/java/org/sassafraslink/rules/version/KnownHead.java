package org.sassafraslink.rules.version;

import org.sassafraslink.api.model.Head;
import org.sassafraslink.api.platform.Row;

/**
 * The latest head row that a process knows.
 *
 * @param revision the version of the row in the table service, which is not the version of the
 *     configuration in {@code head}; {@link Row#ABSENT} if the row is absent
 */
public record KnownHead(long revision, Head head) {
  /** Returns the head known to a process that has not read the row yet. */
  public static KnownHead unread() {
    return new KnownHead(Row.ABSENT, Head.initial());
  }

  /** Returns this head or {@code other}, whichever has the higher revision. */
  public KnownHead later(KnownHead other) {
    return other.revision > revision ? other : this;
  }
}
