package org.sassafraslink.api.fleet;

import com.google.common.collect.ImmutableList;

/**
 * A request to maintain a number of VMs.
 *
 * @param number identifies the wave
 * @param vms the ids of the VMs
 * @param durationSeconds the time in which the maintenance of all VMs should be completed, in s
 * @param maxDown the maximum number of VMs that may be down for the wave at once
 */
public record Wave(long number, ImmutableList<String> vms, double durationSeconds, int maxDown) {}
