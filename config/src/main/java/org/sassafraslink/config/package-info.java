/** Parses and validates the operators' service files, and compares configurations. */
package org.sassafraslink.config;
