package org.sassafraslink.scheduler.relocation;

import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;

/**
 * The long-running tasks that should run and do not.
 *
 * @param count how many they are
 * @param longestMillis the longest time for which one of them has been away; 0 if there is none
 * @param countByReason how many are away by reason, without reasons that none has
 */
public record Absences(
    int count, long longestMillis, ImmutableMap<AwayReason, Integer> countByReason) {
  /** No task is away, or this process does not schedule. */
  public static final Absences NONE = new Absences(0, 0, ImmutableMap.of());

  /** A task that has been away for {@code awayMillis}. */
  public record Absence(AwayReason reason, long awayMillis) {}

  public static Absences of(Collection<Absence> absences) {
    Map<AwayReason, Integer> countByReason = new EnumMap<>(AwayReason.class);
    absences.forEach(absence -> countByReason.merge(absence.reason(), 1, Integer::sum));
    long longestMillis = absences.stream().mapToLong(Absence::awayMillis).max().orElse(0);
    return new Absences(absences.size(), longestMillis, ImmutableMap.copyOf(countByReason));
  }

  /** Returns how many tasks are away for a reason. */
  public int countOf(AwayReason reason) {
    return countByReason.getOrDefault(reason, 0);
  }
}
