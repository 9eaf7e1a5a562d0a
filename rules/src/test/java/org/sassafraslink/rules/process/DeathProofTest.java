package org.sassafraslink.rules.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sassafraslink.api.platform.VmList.Listing;
import org.sassafraslink.api.platform.VmList.Vm;
import org.sassafraslink.api.platform.VmList.VmRole;
import org.sassafraslink.api.platform.VmList.VmState;
import org.sassafraslink.rules.process.MemberSet.Member;
import org.sassafraslink.rules.process.MemberSet.Standing;

final class DeathProofTest {
  private static final long ABSENCE = 1_000;
  private static final Listing WITHOUT = new Listing(2, ImmutableList.of());

  private static Listing listing(long incarnation) {
    return new Listing(
        1,
        ImmutableList.of(new Vm("vm", VmRole.ENTRY, "address", "zone", VmState.LIVE, incarnation)));
  }

  private static Member member(long incarnation) {
    return new Member("id", "vm", incarnation, "address", "zone", Standing.FULL);
  }

  @ParameterizedTest
  @CsvSource({"999, false", "1000, true", "5000, true"})
  void absenceProvesDeathOnlyAfterSomeTime(long absentFor, boolean dead) {
    DeathProof proof = DeathProof.create(ABSENCE).observe(listing(1), 0).observe(WITHOUT, 100);

    assertEquals(dead, proof.isDead(member(1), 100 + absentFor));
  }

  @Test
  void vmThatWasNeverListedIsNotDead() {
    DeathProof proof = DeathProof.create(ABSENCE).observe(WITHOUT, 0);

    assertEquals(false, proof.isDead(member(1), 60_000));
  }

  @Test
  void flappingListStartsTheAbsenceAnew() {
    DeathProof proof =
        DeathProof.create(ABSENCE)
            .observe(listing(1), 0)
            .observe(WITHOUT, 100)
            .observe(listing(1), 900)
            .observe(WITHOUT, 1_000);

    assertEquals(false, proof.isDead(member(1), 1_900));
  }

  @Test
  void newerIncarnationProvesDeathAtOnce() {
    DeathProof proof = DeathProof.create(ABSENCE).observe(listing(2), 0);

    assertEquals(true, proof.isDead(member(1), 0));
    assertEquals(false, proof.isDead(member(2), 0));
  }

  @Test
  void absenceOfAnEarlierIncarnationSaysNothingOfALaterOne() {
    DeathProof proof = DeathProof.create(ABSENCE).observe(listing(1), 0).observe(WITHOUT, 100);

    assertEquals(false, proof.isDead(member(2), 60_000));
  }
}
