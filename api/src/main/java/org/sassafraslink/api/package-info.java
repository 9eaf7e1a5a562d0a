/**
 * Types shared by several modules: values, failures and the interfaces to the platform.
 *
 * <p>There are two sets of them. The packages {@code fleet} and {@code log} belong to the daemon of
 * the modules {@code entry} and {@code scheduler}. The packages {@code model} and {@code platform}
 * belong to the daemon of the module {@code daemon}. Both use the package {@code failure}.
 */
package org.sassafraslink.api;
