package org.sassafraslink.daemon.version;

import org.sassafraslink.api.model.FleetConfig;

/**
 * The configuration that this process applies. While a new version is being published, this is the
 * accepted version, restricted to what the new one allows too.
 *
 * @param version the number of the accepted version
 */
public record ActiveConfig(long version, FleetConfig config) {}
