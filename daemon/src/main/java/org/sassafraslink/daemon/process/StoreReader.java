package org.sassafraslink.daemon.process;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.sassafraslink.api.Json;
import org.sassafraslink.api.model.Head;
import org.sassafraslink.api.platform.PlatformFailure;
import org.sassafraslink.api.platform.Row;
import org.sassafraslink.daemon.version.ConfigTracker;
import org.sassafraslink.rules.process.MemberSet;
import org.sassafraslink.rules.process.QuotaRow;
import org.sassafraslink.rules.process.VmOwnership;
import org.sassafraslink.rules.version.KnownHead;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Periodically reads the head row, the ownership, member and quota rows, and the platform's list of
 * VMs, and passes them to the components that act on them.
 */
final class StoreReader {
  private static final Logger LOG = LoggerFactory.getLogger("store");
  private static final long INITIAL_BACKOFF_MILLIS = 200;
  private static final long MAX_BACKOFF_MILLIS = 3_000;

  /** Quota rows and the VM list, which change slowly, are read once in this number of rounds. */
  private static final int SLOW_READ_INTERVAL_ROUNDS = 2;

  private final Platform platform;
  private final ConfigTracker configTracker;
  private final FleetState fleet;
  private final Clock clock;
  private final BiConsumer<QuotaRow, Long> onQuotaRow;
  private Backoff backoff = Backoff.create(INITIAL_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);
  private long roundCount;
  private final RandomGenerator random;
  private long nextRoundMillis;
  private volatile boolean reachable;

  private StoreReader(
      Platform platform,
      ConfigTracker configs,
      FleetState fleet,
      Clock clock,
      RandomGenerator random,
      BiConsumer<QuotaRow, Long> onQuotaRow) {
    this.platform = platform;
    this.configTracker = configs;
    this.fleet = fleet;
    this.clock = clock;
    this.random = random;
    this.onQuotaRow = onQuotaRow;
  }

  /**
   * Creates the reader of one process.
   *
   * @param onQuotaRow called with each quota row that is read and its version
   */
  static StoreReader create(
      Platform platform,
      ConfigTracker configTracker,
      FleetState fleet,
      Clock clock,
      RandomGenerator random,
      BiConsumer<QuotaRow, Long> onQuotaRow) {
    return new StoreReader(platform, configTracker, fleet, clock, random, onQuotaRow);
  }

  /** Returns whether the last round could read the head row and the ownership rows. */
  boolean isReachable() {
    return reachable;
  }

  /** Reads from the store and the platform, except during the wait after a failed round. */
  void readIfDue() {
    if (clock.monotonicMillis() < nextRoundMillis) {
      return;
    }
    boolean isSlowReadRound = roundCount++ % SLOW_READ_INTERVAL_ROUNDS == 0;
    if (isSlowReadRound) {
      readListing();
    }
    boolean succeeded = readOwnershipRowsAndHead();
    if (succeeded) {
      readMembers();
      if (isSlowReadRound) {
        readQuotaRows();
      }
    }
    recordResult(succeeded);
    nextRoundMillis = clock.monotonicMillis() + backoff.randomDelayMillis(random);
  }

  private void recordResult(boolean succeeded) {
    if (succeeded != reachable) {
      LOG.info(succeeded ? "The store is reachable." : "The store is not reachable.");
    }
    reachable = succeeded;
    backoff = succeeded ? backoff.recordSuccess() : backoff.recordFailure();
  }

  /**
   * Reads the ownership rows and then the head row; returns whether both could be read.
   *
   * <p>A process that has verified its configuration as the newest also relies on its ownership
   * rows being as recent. Therefore the head row is applied only if the ownership rows were read
   * too.
   */
  private boolean readOwnershipRowsAndHead() {
    long startedMillis = clock.monotonicMillis();
    Either<PlatformFailure, ImmutableList<Row>> ownershipRows =
        platform.table().scan(VmOwnership.KEY_PREFIX);
    Either<PlatformFailure, Optional<Row>> headRow = platform.table().read(Head.KEY);
    if (headRow.isLeft() || ownershipRows.isLeft()) {
      return false;
    }
    fleet.update(view -> view.withScannedRows(toOwnerships(ownershipRows.get()), startedMillis));
    KnownHead head =
        headRow
            .get()
            .map(row -> new KnownHead(row.version(), Json.readTrusted(row.value(), Head.class)))
            .orElse(KnownHead.unread());
    configTracker.applyHeadRead(head, startedMillis);
    configTracker.loadLatestConfig();
    return true;
  }

  private void readMembers() {
    platform
        .table()
        .read(MemberSet.KEY)
        .forEach(
            row ->
                row.ifPresent(
                    found ->
                        applyMembers(Json.readTrusted(found.value(), MemberSet.class), found)));
  }

  private void applyMembers(MemberSet members, Row row) {
    fleet.update(view -> view.withMembers(members, row.version()));
    configTracker.applyMembers(members);
  }

  /** Parses ownership rows; returns them by VM id. */
  static ImmutableMap<String, Versioned<VmOwnership>> toOwnerships(ImmutableList<Row> rows) {
    ImmutableMap.Builder<String, Versioned<VmOwnership>> ownershipByVm = ImmutableMap.builder();
    for (Row row : rows) {
      VmOwnership ownership = Json.readTrusted(row.value(), VmOwnership.class);
      ownershipByVm.put(ownership.vm(), new Versioned<>(ownership, row.version()));
    }
    return ownershipByVm.buildOrThrow();
  }

  private void readQuotaRows() {
    platform
        .table()
        .scan(QuotaRow.prefix())
        .forEach(
            rows ->
                rows.forEach(
                    row ->
                        onQuotaRow.accept(
                            Json.readTrusted(row.value(), QuotaRow.class), row.version())));
  }

  private void readListing() {
    long startedMillis = clock.monotonicMillis();
    platform
        .vms()
        .readListing()
        .forEach(listing -> fleet.update(view -> view.withListing(listing, startedMillis)));
  }
}
