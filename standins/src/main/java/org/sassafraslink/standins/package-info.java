/** Small stand-ins of the platform, backend servers, workers and callers; nothing here ships. */
package org.sassafraslink.standins;
