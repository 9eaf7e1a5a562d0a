package org.sassafraslink.daemon.process;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.sassafraslink.api.Json;
import org.sassafraslink.api.platform.PlatformFailure;
import org.sassafraslink.api.platform.Row;
import org.sassafraslink.api.platform.TableService;
import org.sassafraslink.api.platform.Transaction;
import org.sassafraslink.rules.process.DeadMemberDetector;
import org.sassafraslink.rules.process.MemberSet;
import org.sassafraslink.rules.process.MemberSet.Member;
import org.sassafraslink.rules.process.MemberSet.MemberState;
import org.sassafraslink.rules.process.QuotaRow;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Registers this process as a member, marks other members as dead when they are known to be, and
 * later removes them and reclaims their quotas.
 *
 * <p>Requests that a dead process sent to backend servers may still be running there and use its
 * permits. Its quotas are therefore reclaimed only after the longest run time of a request, counted
 * from when this process first saw the member marked as dead.
 */
final class Membership {
  private static final Logger LOG = LoggerFactory.getLogger("members");

  private final Member self;
  private final TableService table;
  private final FleetState fleet;
  private final Clock clock;
  private final Supplier<Map<String, Long>> seenEpochs;
  private final Supplier<Long> maxRunMillis;
  private final Map<String, Long> firstSeenDeadMillis = new HashMap<>();
  private DeadMemberDetector deadMemberDetector;
  private long appliedListingReadMillis;

  /** The epoch in which this process started to join; 0 if it has not. */
  private long joinEpoch;

  private boolean wasRegistered;

  private Membership(
      Member self,
      TableService table,
      FleetState fleet,
      Clock clock,
      Supplier<Map<String, Long>> seenEpochs,
      Supplier<Long> maxRunMillis,
      long absenceMillis) {
    this.self = self;
    this.table = table;
    this.fleet = fleet;
    this.clock = clock;
    this.seenEpochs = seenEpochs;
    this.maxRunMillis = maxRunMillis;
    this.deadMemberDetector = DeadMemberDetector.create(absenceMillis);
  }

  /**
   * Creates the membership of the process {@code self}.
   *
   * @param seenEpochs supplies the latest epoch of the member set that each peer is known to have
   *     read, by member id
   * @param maxRunMillis supplies how long after a member was marked as dead its requests may still
   *     be running, in ms
   * @param absenceMillis how long a VM must be absent from the platform's list before its daemon is
   *     dead, in ms
   */
  static Membership create(
      Member self,
      TableService table,
      FleetState fleet,
      Clock clock,
      Supplier<Map<String, Long>> seenEpochs,
      Supplier<Long> maxRunMillis,
      long absenceMillis) {
    return new Membership(self, table, fleet, clock, seenEpochs, maxRunMillis, absenceMillis);
  }

  /** Returns whether the latest known member set contains this process. */
  boolean isRegistered() {
    return fleet.view().members().members().containsKey(self.id());
  }

  /**
   * Returns whether other processes have marked this process as dead or removed it. It must then
   * exit, because other processes may get its permits as soon as its earlier requests have had time
   * to end.
   */
  boolean isEvicted() {
    Member own = fleet.view().members().members().get(self.id());
    wasRegistered |= own != null;
    return wasRegistered && (own == null || own.standing() == MemberState.DEAD);
  }

  /**
   * Reads the members from the store and makes the next changes that are due: registers or promotes
   * this process, marks another member as dead, or removes a dead member.
   */
  void updateMembers() {
    long nowMillis = clock.monotonicMillis();
    FleetView view = fleet.view();
    if (view.listingReadMillis() > appliedListingReadMillis) {
      appliedListingReadMillis = view.listingReadMillis();
      deadMemberDetector =
          deadMemberDetector.applyListing(view.listing(), appliedListingReadMillis);
    }
    readMembers().ifPresent(members -> advanceMembership(members, nowMillis));
  }

  /**
   * Removes this process from the members and reclaims its quotas. May only be called when all its
   * requests have ended.
   */
  void leave() {
    readMembers()
        .ifPresent(
            read -> {
              Transaction transaction = replaceMembers(read, read.value().remove(self.id()));
              for (Versioned<QuotaRow> row : readQuotaRowsOf(self.id())) {
                transaction = addReclaim(transaction, row, self.id());
              }
              var unused = table.commit(transaction);
            });
  }

  private void advanceMembership(Versioned<MemberSet> read, long nowMillis) {
    MemberSet members = read.value();
    Member own = members.members().get(self.id());
    if (isEvicted()) {
      return;
    }
    if (own == null) {
      commitMembers(read, members.register(self));
      return;
    }
    if (own.standing() == MemberState.GUEST) {
      members
          .startJoin(self.id())
          .ifPresent(
              next -> {
                joinEpoch = next.epoch();
                commitMembers(read, next);
              });
    } else if (own.standing() == MemberState.JOINING) {
      // Without a known join epoch, the current epoch is used. It is not earlier, so it is safe to
      // wait until all full members have read it.
      long epoch = joinEpoch == 0 ? members.epoch() : joinEpoch;
      members
          .finishJoin(self.id(), epoch, seenEpochs.get())
          .ifPresent(next -> commitMembers(read, next));
    }
    markOrRemoveDeadMember(read, nowMillis);
  }

  /**
   * Marks one member as dead, or else reclaims the quota of a removed member and removes one dead
   * member that can have no more running requests. Changes the member set at most once, because the
   * next change needs the new version of its row.
   */
  private void markOrRemoveDeadMember(Versioned<MemberSet> read, long nowMillis) {
    MemberSet members = read.value();
    for (Member member : members.aliveMembers()) {
      if (!member.id().equals(self.id()) && deadMemberDetector.isDead(member, nowMillis)) {
        LOG.info("Marking member {} as dead.", member.id());
        commitMembers(read, members.markDead(member.id()));
        return;
      }
    }
    reclaimQuotaOfRemovedMember(read);
    for (String deadId : members.deadMemberIds()) {
      long sinceMillis = firstSeenDeadMillis.computeIfAbsent(deadId, id -> nowMillis);
      if (nowMillis - sinceMillis >= maxRunMillis.get()) {
        removeDeadMember(read, deadId);
        return;
      }
    }
  }

  /**
   * Reclaims the permits that one removed member has of one team. They exist if a peer transferred
   * permits to the member while it was being removed.
   */
  private void reclaimQuotaOfRemovedMember(Versioned<MemberSet> read) {
    for (Versioned<QuotaRow> row : readQuotaRows(found -> true)) {
      for (String holder : row.value().units().keySet()) {
        if (!read.value().members().containsKey(holder)) {
          // The transaction checks that the member set is the one that does not contain the holder.
          Transaction unchanged = Transaction.empty().check(MemberSet.KEY, read.version());
          var unused = table.commit(addReclaim(unchanged, row, holder));
          return;
        }
      }
    }
  }

  private void removeDeadMember(Versioned<MemberSet> read, String deadId) {
    Transaction transaction = replaceMembers(read, read.value().remove(deadId));
    for (Versioned<QuotaRow> row : readQuotaRowsOf(deadId)) {
      transaction = addReclaim(transaction, row, deadId);
    }
    if (table.commit(transaction).isRight()) {
      LOG.info("Removed dead member {} and reclaimed its quotas.", deadId);
    }
  }

  /** Adds the removal of the permits of {@code holder} from {@code row} to a transaction. */
  private static Transaction addReclaim(
      Transaction transaction, Versioned<QuotaRow> row, String holder) {
    String key = QuotaRow.key(row.value().team());
    return transaction.check(key, row.version()).put(key, Json.write(row.value().reclaim(holder)));
  }

  private List<Versioned<QuotaRow>> readQuotaRowsOf(String holder) {
    return readQuotaRows(row -> row.permitsOf(holder) > 0);
  }

  private List<Versioned<QuotaRow>> readQuotaRows(Predicate<QuotaRow> filter) {
    return table
        .scan(QuotaRow.prefix())
        .map(
            rows ->
                rows.stream()
                    .map(
                        row ->
                            new Versioned<>(
                                Json.readTrusted(row.value(), QuotaRow.class), row.version()))
                    .filter(row -> filter.test(row.value()))
                    .toList())
        .getOrElse(List.of());
  }

  private Optional<Versioned<MemberSet>> readMembers() {
    Either<PlatformFailure, Optional<Row>> read = table.read(MemberSet.KEY);
    return read.isLeft()
        ? Optional.empty()
        : Optional.of(
            read.get()
                .map(
                    row ->
                        new Versioned<>(
                            Json.readTrusted(row.value(), MemberSet.class), row.version()))
                .orElse(new Versioned<>(MemberSet.empty(), Row.ABSENT)));
  }

  private void commitMembers(Versioned<MemberSet> read, MemberSet next) {
    // If the answer is lost, the outcome need not be read now: the next round reads the row before
    // it decides.
    var unused = table.commit(replaceMembers(read, next));
  }

  private static Transaction replaceMembers(Versioned<MemberSet> read, MemberSet next) {
    return Transaction.compareAndSet(MemberSet.KEY, read.version(), Json.write(next));
  }
}
