/** What lives as long as a version. */
package org.sassafraslink.daemon.version;
