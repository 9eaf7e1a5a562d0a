package org.sassafraslink.api.fleet;

/** Names one task of one occurrence of a job. */
public record TaskId(String job, int occurrence, int step, int index) {}
