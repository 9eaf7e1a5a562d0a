package org.sassafraslink.scheduler;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import org.sassafraslink.api.fleet.JobState;

/**
 * Encodes and decodes the row that holds the progress of a job.
 *
 * <p>The row is a JSON object of the job's state, of whether a worker is known to have accepted a
 * start, and of its tasks, which are nested arrays by occurrence, step and index. A task that has
 * never been assigned is 0 and one that is done is 1; any other task is an array of attempt,
 * failures, worker (empty if the attempt has ended), the incarnation of the worker to which it was
 * assigned or that has reported it, checkpoint, and, if known, when the inherited leases of the
 * incarnation have expired, see {@link InheritedLeaseEnds}.
 */
final class ProgressRow {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String STATE = "state";
  private static final String BEGUN = "begun";
  private static final String TASKS = "tasks";

  /**
   * A stored attempt whose start may have been sent to its worker.
   *
   * @param inheritedLeaseEnd as in {@link InheritedLeaseEnds#toStore}
   */
  record StoredAttempt(
      Task task, String workerId, long workerIncarnation, OptionalLong inheritedLeaseEnd) {}

  private ProgressRow() {}

  /**
   * Encodes the progress of a job.
   *
   * @param inheritedLeaseEnd returns the time to store for the worker of an attempt
   */
  static String encode(Job job, Function<Worker, OptionalLong> inheritedLeaseEnd) {
    ObjectNode row = JsonNodeFactory.instance.objectNode();
    row.put(STATE, job.state.name());
    row.put(BEGUN, job.startAccepted);
    ArrayNode occurrences = row.putArray(TASKS);
    for (ImmutableList<ImmutableList<Task>> steps : job.occurrences()) {
      ArrayNode stepNodes = occurrences.addArray();
      for (ImmutableList<Task> tasks : steps) {
        ArrayNode taskNodes = stepNodes.addArray();
        tasks.forEach(task -> encode(task, inheritedLeaseEnd, taskNodes));
      }
    }
    return row.toString();
  }

  private static void encode(
      Task task, Function<Worker, OptionalLong> inheritedLeaseEnd, ArrayNode taskNodes) {
    if (task.phase == TaskPhase.DONE) {
      taskNodes.add(1);
    } else if (task.attempt == 0) {
      taskNodes.add(0);
    } else {
      ArrayNode taskNode = taskNodes.addArray().add(task.attempt).add(task.failures);
      if (task.worker == null) {
        taskNode.add("").add(0).add(task.checkpoint);
      } else {
        taskNode.add(task.worker.entry.id()).add(task.assignedIncarnation);
        taskNode.add(task.checkpoint);
        if (!task.movedToRestartedWorker) {
          inheritedLeaseEnd.apply(task.worker).ifPresent(taskNode::add);
        }
      }
    }
  }

  /** Encodes a row that holds only a final state. */
  static String encodeFinal(JobState state) {
    return JsonNodeFactory.instance.objectNode().put(STATE, state.name()).toString();
  }

  /** Returns the state in a progress or final row, or empty if it cannot be decoded. */
  static Optional<JobState> decodeState(String row) {
    try {
      return Optional.of(JobState.valueOf(MAPPER.readTree(row).path(STATE).asText()));
    } catch (JsonProcessingException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /**
   * Sets the state of a new job and of its tasks from its progress row.
   *
   * @return the attempts that may be running on workers
   * @throws IllegalStateException if the row is not valid JSON
   * @throws IllegalArgumentException if the row has no known state
   */
  static ImmutableList<StoredAttempt> decodeInto(String row, Job job) {
    JsonNode root;
    try {
      root = MAPPER.readTree(row);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(
          "the progress row of job " + job.spec.id() + " is not valid JSON", e);
    }
    job.state = JobState.valueOf(root.path(STATE).asText());
    ImmutableList.Builder<StoredAttempt> attempts = ImmutableList.builder();
    for (int occurrence = 0; occurrence < job.occurrences().size(); occurrence++) {
      for (int step = 0; step < job.occurrences().get(occurrence).size(); step++) {
        for (Task task : job.occurrences().get(occurrence).get(step)) {
          JsonNode node = root.path(TASKS).path(occurrence).path(step).path(task.id.index());
          decode(node, task).ifPresent(attempts::add);
        }
      }
    }
    // An earlier version did not store whether the job has begun.
    job.startAccepted = root.path(BEGUN).asBoolean(job.hasTaskKnownToHaveRun());
    job.forEachTask(
        task -> {
          // An earlier version stored the members of a gang with checkpoints of their own.
          if (!task.checkpoint.isEmpty()) {
            job.recordCheckpoint(task, task.checkpoint);
          }
        });
    return attempts.build();
  }

  /** Returns the value of a node; empty if it is missing, as in rows of an earlier version. */
  private static OptionalLong nonNegative(JsonNode node) {
    return node.isIntegralNumber() && node.asLong() >= 0
        ? OptionalLong.of(node.asLong())
        : OptionalLong.empty();
  }

  private static Optional<StoredAttempt> decode(JsonNode taskNode, Task task) {
    if (taskNode.isInt()) {
      task.phase = taskNode.asInt() == 1 ? TaskPhase.DONE : TaskPhase.WAITING;
      return Optional.empty();
    }
    task.attempt = taskNode.path(0).asInt();
    task.failures = taskNode.path(1).asInt();
    task.checkpoint = taskNode.path(4).asText();
    String workerId = taskNode.path(2).asText();
    return workerId.isEmpty()
        ? Optional.empty()
        : Optional.of(
            new StoredAttempt(
                task, workerId, taskNode.path(3).asLong(), nonNegative(taskNode.path(5))));
  }
}
