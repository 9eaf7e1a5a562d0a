/** The entry daemon, in packages by life span: request, connection, version, process. */
package org.sassafraslink.daemon;
