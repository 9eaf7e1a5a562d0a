package org.sassafraslink.daemon.version;

import org.sassafraslink.api.model.FleetConfig;

/** The configuration in force at this process: the accepted version, narrowed by any intent. */
public record ActiveConfig(long version, FleetConfig config) {}
