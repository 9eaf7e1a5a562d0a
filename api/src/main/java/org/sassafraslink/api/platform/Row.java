package org.sassafraslink.api.platform;

/**
 * A row of the table service.
 *
 * <p>Versions come from one counter for the whole table and only rise, so a row that is deleted and
 * written anew never has an old version again.
 */
public record Row(String key, long version, String value) {
  /** The version that stands for an absent row in a {@link Transaction} check. */
  public static final long ABSENT = 0;
}
