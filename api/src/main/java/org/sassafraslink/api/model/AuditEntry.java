package org.sassafraslink.api.model;

import com.google.common.collect.ImmutableList;

/**
 * An entry of the audit trail, which records who changed the configuration, when and how.
 *
 * @param version the version of the configuration that the change created
 * @param operation identifies the attempt to publish the configuration
 * @param author the operator who published it
 * @param atMillis when it was published, in Unix milliseconds
 * @param digest the digest of the new configuration
 */
public record AuditEntry(
    long version,
    String operation,
    String author,
    long atMillis,
    String digest,
    ImmutableList<Change> changes) {
  /**
   * One changed field.
   *
   * @param field the path of the field
   * @param before the previous value; empty if the field was absent
   * @param after the new value; empty if the field is absent
   */
  public record Change(String field, String before, String after) {}

  /** Prefix of the keys of all audit rows. */
  public static final String KEY_PREFIX = "audit/";

  /** Returns the key of the row with the entry for {@code version}. */
  public static String key(long version) {
    return String.format("%s%012d", KEY_PREFIX, version);
  }
}
