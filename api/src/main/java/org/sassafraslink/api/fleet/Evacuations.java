package org.sassafraslink.api.fleet;

import com.google.common.collect.ImmutableSet;

/**
 * The availability zones that the operator has asked to evacuate, as one read of the store showed
 * them. No task may be started on a worker of such a zone until the request is withdrawn.
 *
 * @param zones the names of the zones
 * @param verifiedAtMillis when the read was sent that showed them, monotonic ms
 */
public record Evacuations(ImmutableSet<String> zones, long verifiedAtMillis) {}
