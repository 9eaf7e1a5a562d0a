/**
 * Simulations of the platform, backend servers, workers and callers, for local runs and tests of
 * the entry daemons. They are not part of a deployment.
 */
package org.sassafraslink.standins;
