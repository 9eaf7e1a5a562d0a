/** Decides what may still be done for a job, given what is known about its cancellation. */
package org.sassafraslink.scheduler.cancellation;
