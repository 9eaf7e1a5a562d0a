/** Handles callers' requests: submission, state, pending count and cancellation of jobs. */
package org.sassafraslink.entry.request;
