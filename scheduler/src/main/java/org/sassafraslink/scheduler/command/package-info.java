/** The commands of the scheduler, from the decision to send them until they are written. */
package org.sassafraslink.scheduler.command;
