/**
 * Decisions about the incarnations of a worker: which commands an incarnation still executes, and
 * how long what it started by a command to another one may run.
 */
package org.sassafraslink.scheduler.incarnation;
