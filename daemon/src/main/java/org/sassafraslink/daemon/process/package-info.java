/**
 * The daemon process: its settings, its start and stop, its periodic and leadership tasks, and what
 * it reports to operators.
 */
package org.sassafraslink.daemon.process;
