/** Publishes configuration versions, and decides which version this process applies. */
package org.sassafraslink.daemon.version;
