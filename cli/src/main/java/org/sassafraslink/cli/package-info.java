/**
 * The command-line tool {@code sassafraslink}, with which operators and teams call a daemon, check
 * service files and create team keys.
 */
package org.sassafraslink.cli;
