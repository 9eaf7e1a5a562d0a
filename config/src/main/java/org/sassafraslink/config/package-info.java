/** The operators' service files: parsing, checking, gathering and comparing. */
package org.sassafraslink.config;
