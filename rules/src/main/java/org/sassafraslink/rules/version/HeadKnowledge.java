package org.sassafraslink.rules.version;

import org.sassafraslink.api.model.Head;
import org.sassafraslink.api.platform.Row;

/**
 * What a process knows of the head row.
 *
 * @param revision the table version of the row, {@link Row#ABSENT} if it is absent
 */
public record HeadKnowledge(long revision, Head head) {
  /** The knowledge of a process that has read nothing. */
  public static HeadKnowledge none() {
    return new HeadKnowledge(Row.ABSENT, Head.initial());
  }

  /** The later of this and {@code other}; knowledge never goes back. */
  public HeadKnowledge later(HeadKnowledge other) {
    return other.revision > revision ? other : this;
  }
}
