package org.sassafraslink.rules.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

final class AllotmentHolderTest {
  private static final AllotmentRow ROW =
      AllotmentRow.create("team", 10, 1).grow("me", 4).grow("peer", 6);
  private static final AllotmentHolder HOLDER =
      AllotmentHolder.create("me", "team").observe(ROW, 5);

  @Test
  void nothingStartsBeforeTheRowWasRead() {
    assertFalse(AllotmentHolder.create("me", "team").mayStart(10));
  }

  @Test
  void startsOnlyInsideItsOwnAllotment() {
    AllotmentHolder busy = HOLDER.start().start().start();

    assertTrue(busy.mayStart(10));
    assertFalse(busy.start().mayStart(10));
  }

  @Test
  void nothingStartsAfterALoweredLimitBeforeTheRowFits() {
    assertFalse(HOLDER.mayStart(8), "the row still has the old limit");
    AllotmentHolder lowered = HOLDER.observe(ROW.withLimit(8, 2), 6);
    assertFalse(lowered.mayStart(8), "ten units are out");
    AllotmentHolder fitting = lowered.observe(ROW.withLimit(8, 2).shrink("peer", 2), 7);
    assertTrue(fitting.mayStart(8));
  }

  @Test
  void unitsGivenUpAreDebitedBeforeTheWriteIsSent() {
    AllotmentHolder giving = HOLDER.beginWrite(ROW.transfer("me", "peer", 3));

    assertEquals(1, giving.held());
  }

  @Test
  void debitStaysWhileALostWriteMayStillCommit() {
    AllotmentHolder lost =
        HOLDER.beginWrite(ROW.transfer("me", "peer", 3)).answerLost().refused().observe(ROW, 5);

    assertEquals(1, lost.held());
    assertEquals(4, lost.observe(ROW, 6).held(), "the row moved on without the write");
  }

  @Test
  void refusedWriteGivesTheUnitsBackAtOnce() {
    assertEquals(4, HOLDER.beginWrite(ROW.transfer("me", "peer", 3)).refused().held());
  }

  @Test
  void olderReadChangesNothing() {
    assertEquals(4, HOLDER.observe(ROW.shrink("me", 4), 4).held());
  }
}
