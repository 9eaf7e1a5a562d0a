package org.sassafraslink.api.platform;

/**
 * A row of the table service.
 *
 * <p>Versions are taken from one counter for the whole table, which only increases. Therefore a row
 * that is deleted and written again never has one of its previous versions.
 */
public record Row(String key, long version, String value) {
  /** The version in a check of a {@link Transaction} that requires the row to be absent. */
  public static final long ABSENT = 0;
}
