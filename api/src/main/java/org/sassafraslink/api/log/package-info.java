/** Structured logging of events as lines of JSON. */
package org.sassafraslink.api.log;
