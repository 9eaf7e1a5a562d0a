/**
 * Values of the fleet, such as jobs, workers, VMs and configuration, and the interfaces of the
 * clients that call the platform and workers.
 */
package org.sassafraslink.api.fleet;
