/** Structured log lines. */
package org.sassafraslink.api.log;
