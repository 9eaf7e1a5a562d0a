/**
 * The entry daemon. Its subpackages are divided by the lifetime of what they handle: a request, a
 * connection, a configuration version, the process.
 */
package org.sassafraslink.daemon;
