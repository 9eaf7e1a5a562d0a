package org.sassafraslink.rules.version;

import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.sassafraslink.rules.process.MemberSet;

/**
 * Decides until when a process may apply the configuration that it knows.
 *
 * <p>The known configuration is verified at a time if it is known that no newer one had been
 * accepted by then. It may be applied from that time for the duration of a lease. Reading the head
 * row verifies it at the time at which the read began. While the store cannot be read,
 * confirmations of a majority of members verify it at the earliest of the times at which these
 * members were asked. This is safe because a configuration is accepted only after a majority has
 * received its intent, so at least one member of any majority would know of a newer one. A process
 * that reaches neither the store nor a majority cannot verify its configuration and stops applying
 * it when the lease ends.
 *
 * @param self the id of this process
 * @param members the last member set that was read
 * @param known the latest head that this process knows
 * @param verifiedAtMillis the last time at which a read of the head row by this process or a peer
 *     verified the known head; empty before the first such read
 * @param confirmedAtMillisByPeer when each peer was last asked for its head and confirmed that it
 *     knew of no newer one than {@code known}, by peer id
 */
public record Freshness(
    String self,
    MemberSet members,
    KnownHead known,
    OptionalLong verifiedAtMillis,
    ImmutableMap<String, Long> confirmedAtMillisByPeer) {

  /**
   * A peer's answer to a request for the latest head that it knows.
   *
   * @param memberEpoch the epoch of the member set that the peer knows
   * @param known the latest head that the peer knows
   * @param verifiedAgeMillis how long before its answer the peer's head was verified by a read of
   *     the head row; empty if it never was
   */
  public record PeerHead(long memberEpoch, KnownHead known, OptionalLong verifiedAgeMillis) {}

  /**
   * Returns the state of a process that has just started, which may not apply any configuration
   * yet.
   */
  public static Freshness create(String self) {
    return new Freshness(
        self, MemberSet.empty(), KnownHead.unread(), OptionalLong.empty(), ImmutableMap.of());
  }

  /**
   * Returns the state after the member set was read. A newer set discards the confirmations of
   * peers, because a majority of an older set proves nothing about the newer one.
   */
  public Freshness applyMembers(MemberSet newMembers) {
    return newMembers.epoch() <= members.epoch()
        ? this
        : new Freshness(self, newMembers, known, verifiedAtMillis, ImmutableMap.of());
  }

  /** Returns the state after the head row was read; the read began at {@code startedMillis}. */
  public Freshness applyRead(KnownHead read, long startedMillis) {
    // The read returned an older revision than the known one, so it does not verify the known one.
    if (read.revision() < known.revision()) {
      return this;
    }
    return new Freshness(
        self,
        members,
        read,
        OptionalLong.of(later(verifiedAtMillis, startedMillis)),
        confirmedAtMillisByPeer);
  }

  /**
   * Returns the state after a peer has announced a head. The announcement does not verify that the
   * head is the newest.
   */
  public Freshness applyAnnouncement(KnownHead announced) {
    return new Freshness(
        self, members, known.later(announced), verifiedAtMillis, confirmedAtMillisByPeer);
  }

  /**
   * Returns the state after {@code peer} has answered a request for its latest head.
   *
   * @param askedMillis when the request was sent
   */
  public Freshness applyPeerReply(String peer, long askedMillis, PeerHead reply) {
    if (reply.known().revision() < known.revision()) {
      return this;
    }
    boolean isConfirmation =
        reply.known().revision() == known.revision() && reply.memberEpoch() == members.epoch();
    ImmutableMap<String, Long> nextConfirmations =
        isConfirmation ? addConfirmation(peer, askedMillis) : confirmedAtMillisByPeer;
    OptionalLong nextVerifiedAt = verifiedAtMillis;
    if (reply.verifiedAgeMillis().isPresent()) {
      // The peer answered after it was asked, so it verified its head at this time or later.
      long peerVerifiedAt = askedMillis - reply.verifiedAgeMillis().getAsLong();
      nextVerifiedAt = OptionalLong.of(later(verifiedAtMillis, peerVerifiedAt));
    }
    return new Freshness(
        self, members, known.later(reply.known()), nextVerifiedAt, nextConfirmations);
  }

  /**
   * Returns the time until which the known configuration may be applied, or empty if it was never
   * verified by a read of the head row.
   *
   * @param leaseMillis how long after its last verification a configuration may be applied, in ms
   */
  public OptionalLong freshUntil(long nowMillis, long leaseMillis) {
    Optional<Long> confirmedAt = majorityConfirmedAt(nowMillis);
    if (verifiedAtMillis.isEmpty()) {
      // Confirmations of peers extend the validity of a head that was read from the store, but do
      // not replace the read.
      return OptionalLong.empty();
    }
    long lastVerifiedAt =
        Math.max(verifiedAtMillis.getAsLong(), confirmedAt.orElse(Long.MIN_VALUE));
    return OptionalLong.of(lastVerifiedAt + leaseMillis);
  }

  /** Returns whether the known configuration may be applied at {@code nowMillis}. */
  public boolean isFresh(long nowMillis, long leaseMillis) {
    OptionalLong until = freshUntil(nowMillis, leaseMillis);
    return until.isPresent() && nowMillis < until.getAsLong();
  }

  /**
   * Returns how long ago the known head was verified by a read of the head row, in ms. Empty if it
   * never was.
   */
  public OptionalLong verifiedAgeMillis(long nowMillis) {
    return verifiedAtMillis.isPresent()
        ? OptionalLong.of(nowMillis - verifiedAtMillis.getAsLong())
        : OptionalLong.empty();
  }

  /**
   * Returns the latest time such that a majority of members, each asked at that time or later, knew
   * of no newer head. This process counts as asked at {@code nowMillis}.
   */
  private Optional<Long> majorityConfirmedAt(long nowMillis) {
    Map<String, Long> confirmedAtByMember = new LinkedHashMap<>(confirmedAtMillisByPeer);
    confirmedAtByMember.put(self, nowMillis);
    return confirmedAtByMember.values().stream()
        .sorted(Comparator.reverseOrder())
        .filter(time -> members.isMajority(membersConfirmedSince(confirmedAtByMember, time)))
        .findFirst();
  }

  private static List<String> membersConfirmedSince(
      Map<String, Long> confirmedAtByMember, long time) {
    return confirmedAtByMember.entrySet().stream()
        .filter(entry -> entry.getValue() >= time)
        .map(Map.Entry::getKey)
        .toList();
  }

  private ImmutableMap<String, Long> addConfirmation(String peer, long askedMillis) {
    Map<String, Long> next = new LinkedHashMap<>(confirmedAtMillisByPeer);
    next.merge(peer, askedMillis, Math::max);
    return ImmutableMap.copyOf(next);
  }

  private static long later(OptionalLong current, long candidate) {
    return current.isPresent() ? Math.max(current.getAsLong(), candidate) : candidate;
  }
}
