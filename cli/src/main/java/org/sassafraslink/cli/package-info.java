/** The command-line tool {@code sassafraslink}. */
package org.sassafraslink.cli;
