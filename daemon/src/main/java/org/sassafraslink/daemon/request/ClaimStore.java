package org.sassafraslink.daemon.request;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.sassafraslink.api.Digests;
import org.sassafraslink.api.Json;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.failure.FailureType;
import org.sassafraslink.api.platform.PlatformFailure;
import org.sassafraslink.api.platform.Row;
import org.sassafraslink.api.platform.TableService;
import org.sassafraslink.api.platform.Transaction;
import org.sassafraslink.daemon.process.Pause;
import org.sassafraslink.daemon.request.CallResult.Answered;
import org.sassafraslink.daemon.request.CallResult.Header;
import org.sassafraslink.daemon.request.PendingCall.HeldClaim;
import org.sassafraslink.rules.request.Claim;
import org.sassafraslink.rules.request.ClaimDecision;
import org.sassafraslink.rules.request.ClaimDecision.StoredClaim;

/**
 * Writes claims of request ids to the table service before the requests are queued, so that a
 * non-idempotent request that a caller repeats runs at most once.
 *
 * <p>Claims that wait at the same time are written in one transaction. If it conflicts with another
 * write or its answer is lost, each claim is read and written separately. A row that has the
 * operation id of the claim shows that the write took effect. Any other claim in the row completes
 * the call with the stored answer or a failure, unless it is a released claim of the same request.
 * In that case, and if the row is absent, the write is repeated as a compare-and-set on the version
 * that was read, until its outcome is known, the attempts are used up or the request's deadline
 * passes.
 */
public final class ClaimStore {
  private static final int TASK_QUEUE_CAPACITY = 4_096;
  private static final int MAX_BATCH_TASKS = 64;
  private static final int MAX_STORED_BODY_BYTES = 16 * 1024;

  /** Maximum number of times that a claim is read and written separately. */
  private static final int MAX_ATTEMPTS = 8;

  private static final long RETRY_MILLIS = 50;

  /** A queued write of a claim. */
  private sealed interface Task {
    /** Claims the request id of {@code call}. */
    record NewClaim(PendingCall call, String key, Claim claim) implements Task {}

    /** Replaces a claim after its call has ended. */
    record ClaimUpdate(HeldClaim held, Claim newClaim) implements Task {}
  }

  private final String self;
  private final TableService table;
  private final LongSupplier monotonicClock;
  private final LongSupplier wallClock;
  private final Pause pause;
  private final Consumer<PendingCall> onClaimed;
  private final BlockingQueue<Task> tasks = new ArrayBlockingQueue<>(TASK_QUEUE_CAPACITY);

  private ClaimStore(
      String self,
      TableService table,
      LongSupplier monotonicClock,
      LongSupplier wallClock,
      Pause pause,
      Consumer<PendingCall> onClaimed) {
    this.self = self;
    this.table = table;
    this.monotonicClock = monotonicClock;
    this.wallClock = wallClock;
    this.pause = pause;
    this.onClaimed = onClaimed;
  }

  /**
   * Creates a claim store.
   *
   * @param self the id of this process
   * @param monotonicClock returns the time with which deadlines are compared, in ms
   * @param wallClock returns the time that is stored in claims, in ms
   * @param pause waits between the attempts to write a claim
   * @param onClaimed receives each call after its request id was claimed
   */
  public static ClaimStore create(
      String self,
      TableService table,
      LongSupplier monotonicClock,
      LongSupplier wallClock,
      Pause pause,
      Consumer<PendingCall> onClaimed) {
    return new ClaimStore(self, table, monotonicClock, wallClock, pause, onClaimed);
  }

  /**
   * Enqueues a call whose request id is to be claimed. If the request may not be sent, the call is
   * completed with the stored answer or with a failure.
   */
  public void submit(PendingCall call, String requestId) {
    String key = Claim.key(call.team(), call.service(), requestId);
    Claim claim =
        Claim.create(call.request().id(), self, fingerprintOf(call), wallClock.getAsLong());
    if (!tasks.offer(new Task.NewClaim(call, key, claim))) {
      reject(
          call,
          FailureType.QUEUE_FULL,
          "Too many requests are waiting for their request ids to be claimed.");
    }
  }

  /**
   * Releases the claim of a call, if it has one, so that a request that repeats the id may run. The
   * call must be known not to have run.
   */
  public void release(PendingCall call) {
    call.claim().ifPresent(held -> enqueueUpdate(held, held.claim().release()));
  }

  /**
   * Records the answer of a call in its claim, if it has one, so that a request that repeats the id
   * gets the same answer.
   */
  public void recordAnswer(PendingCall call, Answered answer) {
    call.claim()
        .ifPresent(held -> enqueueUpdate(held, held.claim().recordAnswer(toStoredAnswer(answer))));
  }

  /** Waits until at least one task is queued, and processes up to one batch of tasks. */
  public void processNextBatch() throws InterruptedException {
    List<Task> batch = new ArrayList<>();
    batch.add(tasks.take());
    processBatch(batch);
  }

  /** Processes up to one batch of the queued tasks; does nothing if there are none. */
  void processNextBatchIfPresent() throws InterruptedException {
    Task first = tasks.poll();
    if (first != null) {
      List<Task> batch = new ArrayList<>();
      batch.add(first);
      processBatch(batch);
    }
  }

  private void processBatch(List<Task> batch) throws InterruptedException {
    tasks.drainTo(batch, MAX_BATCH_TASKS - 1);
    ImmutableList<Task.NewClaim> newClaims =
        batch.stream()
            .filter(Task.NewClaim.class::isInstance)
            .map(Task.NewClaim.class::cast)
            .collect(ImmutableList.toImmutableList());
    if (!newClaims.isEmpty()) {
      writeInOneTransaction(newClaims);
    }
    for (Task task : batch) {
      if (task instanceof Task.ClaimUpdate update) {
        writeUpdate(update);
      }
    }
  }

  private void enqueueUpdate(HeldClaim held, Claim newClaim) {
    // If the update is dropped or its write fails, the row stays claimed, and a request that
    // repeats the id is rejected because the first one may have run.
    boolean unused = tasks.offer(new Task.ClaimUpdate(held, newClaim));
  }

  private void writeUpdate(Task.ClaimUpdate update) {
    HeldClaim held = update.held();
    var unused =
        table.commit(
            Transaction.compareAndSet(
                held.key(), held.rowVersion(), Json.write(update.newClaim())));
  }

  private void writeInOneTransaction(ImmutableList<Task.NewClaim> newClaims)
      throws InterruptedException {
    boolean hasDistinctKeys =
        newClaims.stream().map(Task.NewClaim::key).distinct().count() == newClaims.size();
    Transaction transaction = Transaction.empty();
    for (Task.NewClaim task : newClaims) {
      transaction =
          transaction.check(task.key(), Row.ABSENT).put(task.key(), Json.write(task.claim()));
    }
    // Calls of this batch with the same key are treated like a conflict. They are then claimed one
    // after the other, so that only the first is sent.
    Either<PlatformFailure, Long> committed =
        hasDistinctKeys
            ? table.commit(transaction)
            : Either.left(new PlatformFailure.Conflict("", Row.ABSENT));
    if (committed.isRight()) {
      newClaims.forEach(task -> submitClaimedCall(task, committed.get()));
      return;
    }
    if (committed.getLeft() instanceof PlatformFailure.Unavailable) {
      newClaims.forEach(task -> rejectAsClaimUnavailable(task.call()));
      return;
    }
    for (Task.NewClaim task : newClaims) {
      writeSeparately(task);
    }
  }

  private void writeSeparately(Task.NewClaim task) throws InterruptedException {
    for (int attempt = 0; attempt < MAX_ATTEMPTS && isBeforeDeadline(task.call()); attempt++) {
      Either<PlatformFailure, Optional<Row>> read = table.read(task.key());
      if (read.isRight() && applyClaimDecision(task, read.get())) {
        return;
      }
      pause.waitMillis(RETRY_MILLIS);
    }
    rejectAsClaimUnavailable(task.call());
  }

  /**
   * Submits or completes the call, or writes its claim, depending on the row that was read.
   *
   * @return false if the write of the claim failed, so that the row must be read again
   */
  private boolean applyClaimDecision(Task.NewClaim task, Optional<Row> row) {
    Optional<StoredClaim> stored =
        row.map(
            read -> new StoredClaim(read.version(), Json.readTrusted(read.value(), Claim.class)));
    ClaimDecision decision = ClaimDecision.decide(task.claim(), stored);
    if (decision instanceof ClaimDecision.Send) {
      submitClaimedCall(task, stored.orElseThrow().version());
    } else if (decision instanceof ClaimDecision.Replay replay) {
      task.call().complete(toReplayedResult(replay.answer()));
    } else if (decision instanceof ClaimDecision.Reject rejection) {
      task.call().complete(new CallResult.Failed(rejection.failure()));
    } else if (decision instanceof ClaimDecision.Write write) {
      Either<PlatformFailure, Long> committed =
          table.commit(
              Transaction.compareAndSet(
                  task.key(), write.expectedVersion(), Json.write(write.claim())));
      committed.forEach(version -> submitClaimedCall(task, version));
      return committed.isRight();
    }
    return true;
  }

  private boolean isBeforeDeadline(PendingCall call) {
    return monotonicClock.getAsLong() < call.deadlineMillis();
  }

  /** Records the written claim in its call and passes the call to {@link #onClaimed}. */
  private void submitClaimedCall(Task.NewClaim task, long rowVersion) {
    task.call().recordClaim(new HeldClaim(task.key(), task.claim(), rowVersion));
    onClaimed.accept(task.call());
  }

  private static void rejectAsClaimUnavailable(PendingCall call) {
    reject(
        call,
        FailureType.CLAIM_UNAVAILABLE,
        "The request id could not be claimed; the request was not sent.");
  }

  private static void reject(PendingCall call, FailureType type, String detail) {
    call.complete(new CallResult.Failed(Failure.of(type, detail)));
  }

  /** Returns a digest that distinguishes different requests with the same request id. */
  private static String fingerprintOf(PendingCall call) {
    PendingCall.Request request = call.request();
    String body = Base64.getEncoder().encodeToString(request.body());
    return Digests.of(request.method() + " " + request.pathAndQuery() + "\n" + body);
  }

  /** Returns the answer to store in the claim, or empty if its body is too large. */
  private static Optional<Claim.Answer> toStoredAnswer(Answered answer) {
    if (answer.body().length > MAX_STORED_BODY_BYTES) {
      return Optional.empty();
    }
    String contentType =
        answer.headers().stream()
            .filter(header -> header.name().equalsIgnoreCase("Content-Type"))
            .map(Header::value)
            .findFirst()
            .orElse("application/octet-stream");
    return Optional.of(
        new Claim.Answer(
            answer.status(), contentType, Base64.getEncoder().encodeToString(answer.body())));
  }

  private static CallResult toReplayedResult(Claim.Answer answer) {
    return new Answered(
        answer.status(),
        ImmutableList.of(
            new Header("Content-Type", answer.contentType()),
            new Header("Sassafras-Replayed", "true")),
        Base64.getDecoder().decode(answer.body()));
  }
}
