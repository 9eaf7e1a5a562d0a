/** What lives as long as a request. */
package org.sassafraslink.entry.request;
