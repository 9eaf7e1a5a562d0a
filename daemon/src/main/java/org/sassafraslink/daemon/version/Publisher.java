package org.sassafraslink.daemon.version;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.function.LongSupplier;
import org.sassafraslink.api.Digests;
import org.sassafraslink.api.Json;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.failure.FailureType;
import org.sassafraslink.api.model.AuditEntry;
import org.sassafraslink.api.model.AuditEntry.Change;
import org.sassafraslink.api.model.FleetConfig;
import org.sassafraslink.api.model.Head;
import org.sassafraslink.api.model.Head.Intent;
import org.sassafraslink.api.platform.ObjectStore;
import org.sassafraslink.api.platform.PlatformFailure;
import org.sassafraslink.api.platform.Row;
import org.sassafraslink.api.platform.TableService;
import org.sassafraslink.api.platform.Transaction;
import org.sassafraslink.config.ConfigDiff;
import org.sassafraslink.daemon.process.Pause;
import org.sassafraslink.daemon.process.Versioned;
import org.sassafraslink.rules.process.MemberSet;
import org.sassafraslink.rules.version.KnownHead;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Publishes a configuration as the next version.
 *
 * <p>The steps are: store the configuration as an object; write an intent into the head row;
 * announce the intent and wait until a majority of the members has confirmed it; commit the version
 * together with its audit entry. The commit checks that the head row and the member row still have
 * the versions with which the majority was counted, so it fails if either row was changed since.
 */
public final class Publisher {
  private static final Logger LOG = LoggerFactory.getLogger("publish");
  private static final Duration ANNOUNCE_TIMEOUT = Duration.ofMillis(1_500);

  /**
   * Age from which an intent may be replaced, because its publisher is assumed to be gone, in ms.
   */
  private static final long INTENT_EXPIRY_MILLIS = 15_000;

  private static final int MAX_STORE_ATTEMPTS = 5;
  private static final long STORE_RETRY_MILLIS = 200;

  /** Sends a head to the members. */
  @FunctionalInterface
  public interface Announcer {
    /**
     * Sends {@code head} to all members and waits for their confirmations, at most for {@code
     * timeout}.
     *
     * @return the ids of the members that know {@code head}
     */
    List<String> announce(KnownHead head, Duration timeout);
  }

  /**
   * A configuration that an operator wants to publish.
   *
   * @param baseVersion the version that the operator has read and changed
   * @param author the name of the operator
   */
  public record Proposal(long baseVersion, FleetConfig config, String author) {}

  /** A version that was accepted, with its changes since the previous version. */
  public record Accepted(long version, String digest, ImmutableList<Change> changes) {}

  /** The head row and the member row, as read before the first write of a publish. */
  private record BaseRows(Versioned<Head> head, Versioned<MemberSet> members) {}

  private final TableService table;
  private final ObjectStore objectStore;
  private final Announcer announcer;
  private final ConfigTracker configTracker;
  private final LongSupplier wallClock;
  private final Pause pause;

  private Publisher(
      TableService table,
      ObjectStore objectStore,
      Announcer announcer,
      ConfigTracker configTracker,
      LongSupplier wallClock,
      Pause pause) {
    this.table = table;
    this.objectStore = objectStore;
    this.announcer = announcer;
    this.configTracker = configTracker;
    this.wallClock = wallClock;
    this.pause = pause;
  }

  /** Creates a publisher. */
  public static Publisher create(
      TableService table,
      ObjectStore objectStore,
      Announcer announcer,
      ConfigTracker configTracker,
      LongSupplier wallClock,
      Pause pause) {
    return new Publisher(table, objectStore, announcer, configTracker, wallClock, pause);
  }

  /**
   * Publishes {@code proposal}.
   *
   * @return the accepted version, or a failure if the proposal was not accepted or if it is unknown
   *     whether it was
   */
  public Either<Failure, Accepted> publish(Proposal proposal) {
    Either<Failure, BaseRows> baseRows = readBaseRows();
    return baseRows.flatMap(rows -> publishFrom(rows, proposal));
  }

  private Either<Failure, Accepted> publishFrom(BaseRows baseRows, Proposal proposal) {
    Head head = baseRows.head().value();
    if (head.version() != proposal.baseVersion()) {
      return Either.left(conflictFailure(head, proposal));
    }
    long nowMillis = wallClock.getAsLong();
    Optional<Intent> otherIntent =
        head.intent().filter(intent -> nowMillis - intent.atMillis() < INTENT_EXPIRY_MILLIS);
    if (otherIntent.isPresent()) {
      return Either.left(
          Failure.of(
              FailureType.CONFIGURATION_CONFLICT,
              "Operator "
                  + otherIntent.get().author()
                  + " is currently publishing a configuration."));
    }
    String content = Json.write(proposal.config());
    String digest = Digests.of(content);
    Intent intent = new Intent(UUID.randomUUID().toString(), digest, proposal.author(), nowMillis);
    if (objectStore.put(digest, content).isLeft()) {
      return Either.left(storeUnavailableFailure());
    }
    configTracker.cacheObject(digest, content);
    return writeIntent(baseRows, head.withIntent(intent))
        .flatMap(headWithIntent -> confirmByMajority(baseRows, headWithIntent, intent))
        .flatMap(headWithIntent -> commitVersion(baseRows, headWithIntent, intent, proposal));
  }

  private Either<Failure, Versioned<Head>> writeIntent(BaseRows baseRows, Head headWithIntent) {
    Either<PlatformFailure, Long> written =
        table.commit(
            Transaction.compareAndSet(
                Head.KEY, baseRows.head().version(), Json.write(headWithIntent)));
    if (written.isRight()) {
      return Either.right(new Versioned<>(headWithIntent, written.get()));
    }
    if (written.getLeft() instanceof PlatformFailure.Unavailable) {
      return Either.left(storeUnavailableFailure());
    }
    // The answer was lost or another operator has changed the row; a read shows which.
    return readWithRetries(Head.KEY)
        .filter(row -> Json.readTrusted(row.value(), Head.class).equals(headWithIntent))
        .<Either<Failure, Versioned<Head>>>map(
            row -> Either.right(new Versioned<>(headWithIntent, row.version())))
        .orElseGet(() -> Either.left(concurrentChangeFailure()));
  }

  private Either<Failure, Versioned<Head>> confirmByMajority(
      BaseRows baseRows, Versioned<Head> headWithIntent, Intent intent) {
    List<String> confirmingMembers =
        announcer.announce(
            new KnownHead(headWithIntent.version(), headWithIntent.value()), ANNOUNCE_TIMEOUT);
    if (baseRows.members().value().isMajority(confirmingMembers)) {
      return Either.right(headWithIntent);
    }
    // If this write fails, the intent stays until another publish replaces it after its expiry, or
    // the planner withdraws it.
    var unused =
        table.commit(
            Transaction.compareAndSet(
                Head.KEY,
                headWithIntent.version(),
                Json.write(headWithIntent.value().withoutIntent())));
    LOG.warn(
        "Only {} members confirmed intent {}, which is not a majority.",
        confirmingMembers.size(),
        intent.operation());
    return Either.left(
        Failure.of(
            FailureType.CONFIGURATION_UNCONFIRMED,
            "Only "
                + confirmingMembers.size()
                + " entry daemons confirmed the configuration, which is not a majority."));
  }

  private Either<Failure, Accepted> commitVersion(
      BaseRows baseRows, Versioned<Head> headWithIntent, Intent intent, Proposal proposal) {
    Head acceptedHead = headWithIntent.value().accept(intent);
    FleetConfig previousConfig =
        fetchConfig(baseRows.head().value().digest()).orElse(FleetConfig.empty());
    ImmutableList<Change> changes = ConfigDiff.between(previousConfig, proposal.config());
    AuditEntry audit =
        new AuditEntry(
            acceptedHead.version(),
            intent.operation(),
            proposal.author(),
            intent.atMillis(),
            intent.digest(),
            changes);
    String auditKey = AuditEntry.key(acceptedHead.version());
    Transaction transaction =
        Transaction.compareAndSet(Head.KEY, headWithIntent.version(), Json.write(acceptedHead))
            .check(MemberSet.KEY, baseRows.members().version())
            .check(auditKey, Row.ABSENT)
            .put(auditKey, Json.write(audit));
    Accepted accepted = new Accepted(acceptedHead.version(), intent.digest(), changes);
    Either<PlatformFailure, Long> committed = table.commit(transaction);
    for (int i = 0; committed.isLeft() && i < MAX_STORE_ATTEMPTS; i++) {
      // The failed commit may have taken effect. The audit entry of the version shows whether this
      // or another publisher has committed it.
      Optional<Row> row = readWithRetries(auditKey);
      if (row.isPresent()) {
        boolean isOwnCommit =
            Json.readTrusted(row.get().value(), AuditEntry.class)
                .operation()
                .equals(intent.operation());
        return isOwnCommit ? announceAccepted(accepted) : Either.left(concurrentChangeFailure());
      }
      if (committed.getLeft() instanceof PlatformFailure.Conflict) {
        return Either.left(concurrentChangeFailure());
      }
      // Repeating a compare-and-set is safe, because it takes effect at most once.
      committed = table.commit(transaction);
    }
    return committed.isRight()
        ? announceAccepted(accepted)
        : Either.left(
            Failure.of(
                FailureType.STORE_OUTCOME_UNKNOWN,
                "The store did not confirm whether version "
                    + acceptedHead.version()
                    + " was accepted."));
  }

  /**
   * Announces the accepted head, so that the members learn it before their next read of the row.
   */
  private Either<Failure, Accepted> announceAccepted(Accepted accepted) {
    LOG.info("Configuration version {} was accepted.", accepted.version());
    readWithRetries(Head.KEY)
        .ifPresent(
            row ->
                announcer.announce(
                    new KnownHead(row.version(), Json.readTrusted(row.value(), Head.class)),
                    ANNOUNCE_TIMEOUT));
    return Either.right(accepted);
  }

  /**
   * Returns the failure of a proposal that is not based on the current version. If the proposal and
   * a version since its base have changed the same field, the failure names that field and the
   * author of that version.
   */
  private Failure conflictFailure(Head head, Proposal proposal) {
    ImmutableList<Change> ownChanges =
        fetchConfig(digestOf(proposal.baseVersion()))
            .map(base -> ConfigDiff.between(base, proposal.config()))
            .orElse(ImmutableList.of());
    for (long version = head.version(); version > proposal.baseVersion(); version--) {
      Optional<AuditEntry> entry = auditEntry(version);
      Optional<String> field =
          entry.flatMap(found -> ConfigDiff.firstCommonField(ownChanges, found.changes()));
      if (field.isPresent()) {
        return Failure.of(
            FailureType.CONFIGURATION_CONFLICT,
            "Field "
                + field.get()
                + " was changed by "
                + entry.get().author()
                + " in version "
                + version
                + ".");
      }
    }
    return Failure.of(
        FailureType.CONFIGURATION_CONFLICT,
        "Version "
            + head.version()
            + " by "
            + head.author()
            + " is the current one, not version "
            + proposal.baseVersion()
            + "; the changes have no field in common.");
  }

  private String digestOf(long version) {
    return auditEntry(version).map(AuditEntry::digest).orElse("");
  }

  private Optional<AuditEntry> auditEntry(long version) {
    return readWithRetries(AuditEntry.key(version))
        .map(row -> Json.readTrusted(row.value(), AuditEntry.class));
  }

  private Optional<FleetConfig> fetchConfig(String digest) {
    if (digest.isEmpty()) {
      return Optional.of(FleetConfig.empty());
    }
    return configTracker
        .cachedObject(digest)
        .or(() -> objectStore.get(digest).getOrElse(Optional.empty()))
        .map(content -> Json.readTrusted(content, FleetConfig.class));
  }

  private Either<Failure, BaseRows> readBaseRows() {
    Either<PlatformFailure, Optional<Row>> headRow = table.read(Head.KEY);
    Either<PlatformFailure, Optional<Row>> memberRow = table.read(MemberSet.KEY);
    if (headRow.isLeft() || memberRow.isLeft()) {
      return Either.left(storeUnavailableFailure());
    }
    return Either.right(
        new BaseRows(
            toVersioned(headRow.get(), Head.class, Head.initial()),
            toVersioned(memberRow.get(), MemberSet.class, MemberSet.empty())));
  }

  private static <T> Versioned<T> toVersioned(Optional<Row> row, Class<T> type, T valueIfAbsent) {
    return row.map(found -> new Versioned<>(Json.readTrusted(found.value(), type), found.version()))
        .orElse(new Versioned<>(valueIfAbsent, Row.ABSENT));
  }

  /** Returns the row; empty if it is absent or all attempts to read it have failed. */
  private Optional<Row> readWithRetries(String key) {
    for (int i = 0; i < MAX_STORE_ATTEMPTS; i++) {
      Either<PlatformFailure, Optional<Row>> read = table.read(key);
      if (read.isRight()) {
        return read.get();
      }
      pauseBeforeRetry();
    }
    return Optional.empty();
  }

  private void pauseBeforeRetry() {
    try {
      pause.waitMillis(STORE_RETRY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Failure storeUnavailableFailure() {
    return Failure.of(
        FailureType.STORE_UNAVAILABLE, "The store does not answer; nothing was published.");
  }

  /** Returns the failure of a publish whose head row or member row was changed by another write. */
  private static Failure concurrentChangeFailure() {
    return Failure.of(
        FailureType.CONFIGURATION_CONFLICT,
        "Another operator's change or a change of the members was written first; nothing was "
            + "published.");
  }
}
