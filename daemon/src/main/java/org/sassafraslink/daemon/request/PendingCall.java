package org.sassafraslink.daemon.request;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sassafraslink.api.model.FleetConfig.Queue;
import org.sassafraslink.api.model.FleetConfig.TeamKey;
import org.sassafraslink.daemon.request.CallResult.Header;
import org.sassafraslink.rules.request.Claim;
import org.sassafraslink.rules.request.RequestState;

/**
 * A caller's request and its state in this daemon, from its receipt until the result is known.
 *
 * <p>Several threads use a call. The fields that are neither final nor volatile are used only by
 * the dispatcher's thread.
 */
public final class PendingCall {
  private static final ImmutableSet<String> IDEMPOTENT_METHODS =
      ImmutableSet.of("GET", "HEAD", "PUT", "DELETE", "OPTIONS");

  /**
   * The request as read from the caller.
   *
   * @param id the unique id that this daemon has generated for the request
   * @param requestId the id that the caller has set in a header, by which a repeated request is
   *     recognized
   */
  @SuppressWarnings("ArrayRecordComponent") // The body is only passed on, never compared.
  public record Request(
      String id,
      String method,
      String pathAndQuery,
      ImmutableList<Header> headers,
      byte[] body,
      Optional<String> requestId) {}

  /** The team that submitted the request, with the key that was sent with it. */
  public record Submitter(String team, TeamKey key) {}

  /**
   * The claim of the request id that was written for this call.
   *
   * @param key the key of the claim's row
   * @param rowVersion the version of the row after the claim was written
   */
  public record HeldClaim(String key, Claim claim, long rowVersion) {}

  private final Request request;
  private final String service;
  private final Queue queue;
  private final Optional<Submitter> submitter;
  private final long receivedMillis;
  private final CompletableFuture<CallResult> result = new CompletableFuture<>();
  private volatile RequestState state = RequestState.RECEIVED;
  private volatile Optional<HeldClaim> claim = Optional.empty();
  private volatile boolean mayHaveBeenSent;
  private volatile boolean callerLeft;
  private int attempts;
  private double chargedMillis;
  private String lastVm = "";
  private long assignedMillis;

  private PendingCall(
      Request request,
      String service,
      Queue queue,
      Optional<Submitter> submitter,
      long receivedMillis) {
    this.request = request;
    this.service = service;
    this.queue = queue;
    this.submitter = submitter;
    this.receivedMillis = receivedMillis;
  }

  /**
   * Creates a call.
   *
   * @param submitter the submitting team; empty on an open queue
   * @param receivedMillis the monotonic time at which the request was received
   */
  public static PendingCall create(
      Request request,
      String service,
      Queue queue,
      Optional<Submitter> submitter,
      long receivedMillis) {
    return new PendingCall(request, service, queue, submitter, receivedMillis);
  }

  /** Returns the request as read from the caller. */
  public Request request() {
    return request;
  }

  /** Returns the name of the service. */
  public String service() {
    return service;
  }

  /** Returns the queue of the service to which the request was sent. */
  public Queue queue() {
    return queue;
  }

  /** Returns the submitting team; empty on an open queue. */
  public Optional<Submitter> submitter() {
    return submitter;
  }

  /** Returns the name of the submitting team, or an empty string if there is none. */
  public String team() {
    return submitter.map(Submitter::team).orElse("");
  }

  /** Returns the monotonic time at which the request expires. */
  public long deadlineMillis() {
    return receivedMillis + queue.timeoutMillis();
  }

  /**
   * Returns whether the request may run more than once without harm, according to the definition of
   * its HTTP method.
   */
  public boolean isIdempotent() {
    return IDEMPOTENT_METHODS.contains(request.method());
  }

  /** Returns the state of the request. */
  public RequestState state() {
    return state;
  }

  /**
   * Changes the state.
   *
   * @throws IllegalStateException if the state may not change to {@code newState}, which is a bug
   *     of the daemon
   */
  public void changeState(RequestState newState) {
    if (!state.canChangeTo(newState)) {
      throw new IllegalStateException(
          "request " + request.id() + ": illegal change from " + state + " to " + newState);
    }
    mayHaveBeenSent |= !newState.isBeforeSending() && newState != RequestState.ABANDONED;
    state = newState;
  }

  /** Returns whether a byte of any attempt may have reached a backend server. */
  public boolean mayHaveBeenSent() {
    return mayHaveBeenSent;
  }

  /**
   * Returns the estimated slot time that was charged to the team for the current attempt, in ms.
   */
  public double chargedMillis() {
    return chargedMillis;
  }

  /**
   * Records the estimated slot time that was charged to the team for the current attempt, in ms.
   */
  public void recordCharge(double millis) {
    chargedMillis = millis;
  }

  /** Returns the claim of the request id; empty if none was written. */
  public Optional<HeldClaim> claim() {
    return claim;
  }

  /** Records the claim that was written. */
  public void recordClaim(HeldClaim newClaim) {
    claim = Optional.of(newClaim);
  }

  /** Assigns the call to the instance on {@code vm}, which starts a new attempt. */
  public void assignTo(String vm, long nowMillis) {
    changeState(RequestState.ASSIGNED);
    attempts++;
    lastVm = vm;
    assignedMillis = nowMillis;
  }

  /** Returns the number of attempts, the current one included. */
  public int attempts() {
    return attempts;
  }

  /** Returns the id of the VM of the last attempt, or an empty string before the first. */
  public String lastVm() {
    return lastVm;
  }

  /** Returns the monotonic time at which the last attempt started. */
  public long assignedMillis() {
    return assignedMillis;
  }

  /** Records that the caller has closed its connection. */
  public void recordCallerLeft() {
    callerLeft = true;
  }

  /** Returns whether the caller has closed its connection. */
  public boolean hasCallerLeft() {
    return callerLeft;
  }

  /** Returns the future result of the call. */
  public CompletableFuture<CallResult> result() {
    return result;
  }

  /** Completes the call; has no effect if the call is already completed. */
  public void complete(CallResult finalResult) {
    result.complete(finalResult);
  }
}
