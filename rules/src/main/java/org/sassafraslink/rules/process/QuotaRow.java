package org.sassafraslink.rules.process;

import com.google.common.collect.ImmutableMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A team's upper limit, divided into quotas for the processes that may start the team's work, as
 * stored in the team's row of the table service.
 *
 * <p>The row holds the quota of each process, in permits, and the number of running jobs. No change
 * of the permits raises the sum of permits and running jobs above the limit; after the limit was
 * lowered below that sum, changes can only keep or reduce it. A process starts requests only within
 * its own quota, so no more requests and jobs run than the row allows, even while a process has not
 * yet read the changes that others made.
 *
 * @param limit the team's upper limit on running requests and jobs
 * @param limitVersion the configuration version that set {@code limit}
 * @param units the number of permits of each process, by process id; processes without permits are
 *     left out
 * @param jobs the number of running jobs, each of which takes one permit
 */
public record QuotaRow(
    String team, int limit, long limitVersion, ImmutableMap<String, Integer> units, int jobs) {
  private static final String KEY_PREFIX = "allotment/";

  /** Returns the key of the row of {@code team}. */
  public static String key(String team) {
    return KEY_PREFIX + team;
  }

  /** Returns the prefix of the keys of all quota rows. */
  public static String prefix() {
    return KEY_PREFIX;
  }

  /** Returns the row of a team that has no running requests or jobs. */
  public static QuotaRow create(String team, int limit, long limitVersion) {
    return new QuotaRow(team, limit, limitVersion, ImmutableMap.of(), 0);
  }

  /** Returns the number of permits that are allocated to processes and jobs. */
  public int allocatedPermits() {
    return jobs + units.values().stream().mapToInt(Integer::intValue).sum();
  }

  /**
   * Returns the number of permits that are not allocated; negative after the limit was lowered
   * below the number of allocated permits.
   */
  public int freePermits() {
    return limit - allocatedPermits();
  }

  /** Returns the number of permits of the process {@code holder}. */
  public int permitsOf(String holder) {
    return units.getOrDefault(holder, 0);
  }

  /**
   * Returns this row with the limit of the configuration version {@code newLimitVersion}, or
   * unchanged if that version is not newer than the one of the present limit.
   */
  public QuotaRow withLimit(int newLimit, long newLimitVersion) {
    return newLimitVersion <= limitVersion
        ? this
        : new QuotaRow(team, newLimit, newLimitVersion, units, jobs);
  }

  /** Returns this row with up to {@code wanted} of the free permits granted to {@code holder}. */
  public QuotaRow grant(String holder, int wanted) {
    int granted = Math.max(0, Math.min(wanted, freePermits()));
    return withPermits(holder, permitsOf(holder) + granted);
  }

  /**
   * Returns this row with the permits of {@code holder} reduced by {@code released}. The process
   * must no longer use these permits.
   */
  public QuotaRow release(String holder, int released) {
    return withPermits(holder, Math.max(0, permitsOf(holder) - released));
  }

  /**
   * Returns this row with up to {@code requested} permits of {@code from}, which must no longer use
   * them, transferred to {@code to}.
   */
  public QuotaRow transfer(String from, String to, int requested) {
    int transferred = Math.min(requested, permitsOf(from));
    QuotaRow afterRelease = release(from, transferred);
    return afterRelease.withPermits(to, afterRelease.permitsOf(to) + transferred);
  }

  /** Returns this row without the permits of a dead process whose requests have all ended. */
  public QuotaRow reclaim(String deadHolder) {
    return withPermits(deadHolder, 0);
  }

  /** Returns whether a permit is free for one more job. */
  public boolean hasPermitForJob() {
    return freePermits() >= 1;
  }

  /**
   * Returns this row with {@code change} more running jobs; {@code change} may be negative. To add
   * a job, the caller must first check {@link #hasPermitForJob}.
   */
  public QuotaRow addRunningJobs(int change) {
    return new QuotaRow(team, limit, limitVersion, units, Math.max(0, jobs + change));
  }

  private QuotaRow withPermits(String holder, int newPermits) {
    Map<String, Integer> next = new LinkedHashMap<>(units);
    next.put(holder, newPermits);
    next.values().removeIf(value -> value == 0);
    return new QuotaRow(team, limit, limitVersion, ImmutableMap.copyOf(next), jobs);
  }
}
