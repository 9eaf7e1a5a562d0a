package org.sassafraslink.api.fleet;

/**
 * Identifies one task of one occurrence of a job.
 *
 * @param job the id of the job
 * @param occurrence the number of the occurrence, from 0
 * @param step the number of the step, from 0
 * @param index the number of the task in its step, from 0
 */
public record TaskId(String job, int occurrence, int step, int index) {}
