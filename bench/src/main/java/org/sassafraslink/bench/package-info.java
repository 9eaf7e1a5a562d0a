/** Seeded experiments that feed the decisions with arrivals, completions and failures. */
package org.sassafraslink.bench;
