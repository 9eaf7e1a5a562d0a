/** Values and ports of the fleet: jobs, workers, VMs, configuration and the platform's rows. */
package org.sassafraslink.api.fleet;
