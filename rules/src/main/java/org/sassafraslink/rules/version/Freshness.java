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
 * Decides until when a process may act on the configuration that it knows.
 *
 * <p>Evidence is a time at which no configuration later than the known one was accepted. A direct
 * read of the head row is evidence for the time at which the read began. While the store cannot be
 * read, answers of a majority of members are evidence for the earliest of the times at which they
 * were asked: an accept is committed only after a majority has learned of its intent, so one of
 * those who answered would have known. A process that is cut off from the store and from a majority
 * has no new evidence and stops within the lease.
 *
 * @param evidenceAt the time of the latest direct evidence, in milliseconds
 * @param promises the time at which each peer was last asked and knew nothing later
 */
public record Freshness(
    String self,
    MemberSet members,
    HeadKnowledge known,
    OptionalLong evidenceAt,
    ImmutableMap<String, Long> promises) {

  /** What a peer says when asked. */
  public record PeerHead(long memberEpoch, HeadKnowledge known, OptionalLong evidenceAgeMillis) {}

  /** The state of a process that has just started: it may serve nothing. */
  public static Freshness create(String self) {
    return new Freshness(
        self, MemberSet.empty(), HeadKnowledge.none(), OptionalLong.empty(), ImmutableMap.of());
  }

  /** Takes in the member row. A majority of an older view is worth nothing in a newer one. */
  public Freshness observeMembers(MemberSet next) {
    return next.epoch() <= members.epoch()
        ? this
        : new Freshness(self, next, known, evidenceAt, ImmutableMap.of());
  }

  /** Takes in a head row whose read began at {@code startedMillis}. */
  public Freshness observeRead(HeadKnowledge read, long startedMillis) {
    // A read that began before the known revision was written says nothing about later ones.
    if (read.revision() < known.revision()) {
      return this;
    }
    return new Freshness(
        self, members, read, OptionalLong.of(later(evidenceAt, startedMillis)), promises);
  }

  /** Learns a head row from a peer's announcement, without evidence about later ones. */
  public Freshness observeAnnouncement(HeadKnowledge announced) {
    return new Freshness(self, members, known.later(announced), evidenceAt, promises);
  }

  /** Takes in the answer of {@code peer} to a question sent at {@code askedMillis}. */
  public Freshness observeReply(String peer, long askedMillis, PeerHead reply) {
    if (reply.known().revision() < known.revision()) {
      return this;
    }
    boolean isPromise =
        reply.known().revision() == known.revision() && reply.memberEpoch() == members.epoch();
    ImmutableMap<String, Long> nextPromises = isPromise ? promise(peer, askedMillis) : promises;
    OptionalLong nextEvidence = evidenceAt;
    if (reply.evidenceAgeMillis().isPresent()) {
      long at = askedMillis - reply.evidenceAgeMillis().getAsLong();
      nextEvidence = OptionalLong.of(later(evidenceAt, at));
    }
    return new Freshness(self, members, known.later(reply.known()), nextEvidence, nextPromises);
  }

  /** The time until which the known configuration may be acted on; empty before any evidence. */
  public OptionalLong freshUntil(long nowMillis, long leaseMillis) {
    Optional<Long> quorumAt = quorumEvidence(nowMillis);
    if (evidenceAt.isEmpty()) {
      // Promises extend knowledge that came from the store; they do not replace it.
      return OptionalLong.empty();
    }
    long at = Math.max(evidenceAt.getAsLong(), quorumAt.orElse(Long.MIN_VALUE));
    return OptionalLong.of(at + leaseMillis);
  }

  /** Whether the known configuration may be acted on at {@code nowMillis}. */
  public boolean isFresh(long nowMillis, long leaseMillis) {
    OptionalLong until = freshUntil(nowMillis, leaseMillis);
    return until.isPresent() && nowMillis < until.getAsLong();
  }

  /** The age of the direct evidence, for the answer to a peer. */
  public OptionalLong evidenceAge(long nowMillis) {
    return evidenceAt.isPresent()
        ? OptionalLong.of(nowMillis - evidenceAt.getAsLong())
        : OptionalLong.empty();
  }

  /** The latest time at which a majority, each asked no earlier, knew nothing later. */
  private Optional<Long> quorumEvidence(long nowMillis) {
    Map<String, Long> votes = new LinkedHashMap<>(promises);
    votes.put(self, nowMillis);
    return votes.values().stream()
        .sorted(Comparator.reverseOrder())
        .filter(time -> members.isMajority(votersSince(votes, time)))
        .findFirst();
  }

  private static List<String> votersSince(Map<String, Long> votes, long time) {
    return votes.entrySet().stream()
        .filter(vote -> vote.getValue() >= time)
        .map(Map.Entry::getKey)
        .toList();
  }

  private ImmutableMap<String, Long> promise(String peer, long askedMillis) {
    Map<String, Long> next = new LinkedHashMap<>(promises);
    next.merge(peer, askedMillis, Math::max);
    return ImmutableMap.copyOf(next);
  }

  private static long later(OptionalLong known, long at) {
    return known.isPresent() ? Math.max(known.getAsLong(), at) : at;
  }
}
