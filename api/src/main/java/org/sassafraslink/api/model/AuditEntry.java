package org.sassafraslink.api.model;

import com.google.common.collect.ImmutableList;

/** A line of the audit trail: who changed what, when, and in which version. */
public record AuditEntry(
    long version,
    String operation,
    String author,
    long atMillis,
    String digest,
    ImmutableList<Change> changes) {
  /** One changed field, named by its path; before or after is empty where it was absent. */
  public record Change(String field, String before, String after) {}

  /** The prefix of the keys of audit rows. */
  public static final String PREFIX = "audit/";

  /** The key of the entry for {@code version}. */
  public static String key(long version) {
    return String.format("%s%012d", PREFIX, version);
  }
}
