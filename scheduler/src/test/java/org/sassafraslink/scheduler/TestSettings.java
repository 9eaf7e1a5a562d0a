package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.sassafraslink.api.fleet.FleetSettings;
import org.sassafraslink.api.fleet.FleetSettings.PoolConfig;
import org.sassafraslink.api.fleet.FleetSettings.RequestLimits;
import org.sassafraslink.api.fleet.FleetSettings.TeamConfig;
import org.sassafraslink.api.fleet.Resources;

/** Creates the settings that fit the jobs of {@link TestJobs}, for unit tests. */
final class TestSettings {
  private TestSettings() {}

  static FleetSettings ofTeamLimit(Resources teamLimit) {
    return new FleetSettings(
        /* version= */ 1,
        ImmutableMap.of("queue", TestJobs.QUEUE),
        ImmutableMap.of(
            "pool", new PoolConfig("pool", /* enforcesCapacity= */ true, /* standby= */ false)),
        ImmutableMap.of(
            "team", new TeamConfig("team", ImmutableList.of(), /* weight= */ 1, teamLimit)),
        new RequestLimits(
            /* maxHeaderBytes= */ 8_192,
            /* maxBodyBytes= */ 65_536,
            /* headerTimeoutMillis= */ 3_000,
            /* idleTimeoutMillis= */ 15_000));
  }
}
