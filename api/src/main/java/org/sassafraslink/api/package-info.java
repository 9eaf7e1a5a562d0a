/** Stable types that all modules share: values, failures and the interfaces to the platform. */
package org.sassafraslink.api;
