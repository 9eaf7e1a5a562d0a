package org.sassafraslink.rules.version;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.sassafraslink.api.model.Head;
import org.sassafraslink.rules.process.MemberSet;
import org.sassafraslink.rules.process.MemberSet.Member;
import org.sassafraslink.rules.process.MemberSet.Standing;
import org.sassafraslink.rules.version.Freshness.PeerHead;

final class FreshnessTest {
  private static final long LEASE = 4_000;
  private static final MemberSet THREE =
      new MemberSet(7, ImmutableMap.of("me", member("me"), "b", member("b"), "c", member("c")));
  private static final Freshness STARTED = Freshness.create("me").observeMembers(THREE);
  private static final Freshness READ = STARTED.observeRead(head(10), 1_000);

  private static Member member(String id) {
    return new Member(id, id, 1, id, "zone", Standing.FULL);
  }

  private static HeadKnowledge head(long revision) {
    return new HeadKnowledge(revision, Head.initial());
  }

  private static PeerHead reply(long epoch, long revision) {
    return new PeerHead(epoch, head(revision), OptionalLong.empty());
  }

  @Test
  void newProcessServesNothingBeforeItHasReadTheHead() {
    assertFalse(STARTED.observeReply("b", 0, reply(7, 0)).isFresh(1, LEASE));
  }

  @Test
  void readCountsFromItsBeginning() {
    assertTrue(READ.isFresh(4_999, LEASE));
    assertFalse(READ.isFresh(5_000, LEASE));
  }

  @Test
  void majorityThatKnowsNothingLaterExtendsTheLease() {
    Freshness extended = READ.observeReply("b", 6_000, reply(7, 10));

    assertTrue(extended.isFresh(9_999, LEASE));
    assertFalse(extended.isFresh(10_000, LEASE));
  }

  @Test
  void minorityExtendsNothing() {
    MemberSet five =
        new MemberSet(
            8,
            ImmutableMap.of(
                "me",
                member("me"),
                "b",
                member("b"),
                "c",
                member("c"),
                "d",
                member("d"),
                "e",
                member("e")));
    Freshness extended = READ.observeMembers(five).observeReply("b", 6_000, reply(8, 10));

    assertFalse(extended.isFresh(6_100, LEASE));
  }

  @Test
  void peerWithALaterHeadExtendsNothingAndTeachesIt() {
    Freshness taught = READ.observeReply("b", 6_000, reply(7, 11));

    assertEquals(11, taught.known().revision());
    assertFalse(taught.isFresh(6_100, LEASE));
  }

  @Test
  void peerWithAnotherMemberEpochExtendsNothing() {
    assertFalse(READ.observeReply("b", 6_000, reply(6, 10)).isFresh(6_100, LEASE));
  }

  @Test
  void evidenceOfAPeerIsPassedOnWithItsAge() {
    PeerHead relayed = new PeerHead(7, head(12), OptionalLong.of(1_500));
    Freshness told = READ.observeReply("b", 6_000, relayed);

    assertTrue(told.isFresh(8_499, LEASE));
    assertFalse(told.isFresh(8_500, LEASE));
  }

  @Test
  void knowledgeNeverGoesBack() {
    Freshness later = READ.observeAnnouncement(head(15));

    assertEquals(15, later.observeRead(head(10), 9_000).known().revision());
    assertEquals(15, later.observeReply("b", 9_000, reply(7, 10)).known().revision());
  }
}
