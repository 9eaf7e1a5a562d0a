/** Reads the state of stored jobs, and cancels jobs that are stored or may be stored later. */
package org.sassafraslink.entry.job;
