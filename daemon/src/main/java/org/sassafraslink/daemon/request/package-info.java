/**
 * Queues callers' requests, sends them to backend servers within the quotas of their teams, and
 * claims request ids so that a non-idempotent request with an id runs at most once.
 */
package org.sassafraslink.daemon.request;
