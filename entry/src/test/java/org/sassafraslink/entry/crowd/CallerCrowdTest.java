package org.sassafraslink.entry.crowd;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks that an entry process under a crowd of clients that do not keep to the usual lives, stays
 * within the memory and the descriptors of its machine, and answers an ordinary request while the
 * crowd's connections are still open.
 */
class CallerCrowdTest {
  /** Descriptors that must stay free for the process's own calls. */
  private static final int RESERVED_DESCRIPTORS = 40;

  /** Connections of a crowd that needs memory rather than descriptors. */
  private static final int CONNECTIONS = 300;

  private static final int FEW_CONNECTIONS = 4;
  private static final int REQUESTS_AHEAD = 40_000;

  /** How long a slow store takes to answer, in ms. */
  private static final long SLOW_STORE_MILLIS = 600;

  /** Bytes that a client sends at a time. */
  private static final int WHOLE = Integer.MAX_VALUE;

  private static final int PIECE_BYTES = 1_000;
  private static final int LARGE_PIECE_BYTES = 30_000;
  private static final int MIX_ROUNDS = 3;

  @TempDir Path folder;

  private StoreStandIn store;
  private EntryProcess entry;

  @BeforeEach
  void startProcess() throws Exception {
    store = StoreStandIn.start();
    entry = EntryProcess.start(folder, store.port());
  }

  @AfterEach
  void stopProcess() throws Exception {
    if (entry != null) {
      entry.stop();
    }
    store.stop();
  }

  private void connect(ClientCrowd crowd, int connections, Supplier<byte[]> bytes)
      throws Exception {
    crowd.connect(entry.callerAddress(), connections, bytes);
  }

  private void assertServes() throws Exception {
    assertTrue(entry.isAlive(), () -> "ended: " + tail());
    long residentMegabytes = entry.residentMegabytes();
    assertTrue(residentMegabytes <= EntryProcess.MACHINE_MB, residentMegabytes + " MB resident");
    long descriptors = entry.openDescriptors();
    assertTrue(
        descriptors <= EntryProcess.MAX_DESCRIPTORS - RESERVED_DESCRIPTORS,
        descriptors + " descriptors are open");
    store.setDelayMillis(0);
    String status;
    try {
      status = entry.ordinaryRequestStatus();
    } catch (IOException e) {
      status = e.toString();
    }
    assertEquals("200", status, this::tail);
    assertTrue(entry.isAlive(), () -> "ended: " + tail());
  }

  private String tail() {
    try {
      return entry.outputTail();
    } catch (IOException e) {
      return e.toString();
    }
  }

  /** Guards against bodies that wait for a slow store until the memory is full. */
  @Test
  void manyWholeBodiesWithSlowStore() throws Exception {
    store.setDelayMillis(SLOW_STORE_MILLIS);
    try (ClientCrowd crowd = ClientCrowd.empty()) {
      connect(crowd, CONNECTIONS, CrowdRequests::largestSubmission);
      crowd.send(WHOLE);
      assertServes();
    }
  }

  /** Guards against bodies that fill the memory because their last byte never arrives. */
  @Test
  void bodiesInPiecesThatDoNotEnd() throws Exception {
    try (ClientCrowd crowd = ClientCrowd.empty()) {
      connect(crowd, CONNECTIONS, CrowdRequests::submissionWithoutEnd);
      crowd.send(PIECE_BYTES);
      assertServes();
    }
  }

  /** Guards against headers that take many times their size in memory and never end. */
  @Test
  void headersThatDoNotEnd() throws Exception {
    try (ClientCrowd crowd = ClientCrowd.empty()) {
      connect(crowd, CONNECTIONS, CrowdRequests::headersWithoutEnd);
      crowd.send(PIECE_BYTES);
      assertServes();
    }
  }

  /** Guards against responses that are kept in memory because the client does not read them. */
  @Test
  void manyRequestsAheadWithAnswersUnread() throws Exception {
    byte[] requests = CrowdRequests.unknownPathRequests(REQUESTS_AHEAD);
    try (ClientCrowd crowd = ClientCrowd.empty()) {
      connect(crowd, FEW_CONNECTIONS, () -> requests);
      crowd.send(LARGE_PIECE_BYTES);
      assertServes();
    }
  }

  /** Guards against silent connections that leave no descriptor for other callers. */
  @Test
  void silentConnections() throws Exception {
    try (ClientCrowd crowd = ClientCrowd.empty()) {
      connect(crowd, EntryProcess.MAX_DESCRIPTORS, CrowdRequests::nothing);
      assertServes();
    }
  }

  /** Guards against a crowd of all these kinds, which comes again and again. */
  @Test
  void mixOfCrowds() throws Exception {
    byte[] requests = CrowdRequests.jobStateRequests(REQUESTS_AHEAD);
    store.setDelayMillis(SLOW_STORE_MILLIS);
    try (ClientCrowd crowd = ClientCrowd.empty()) {
      for (int round = 0; round < MIX_ROUNDS; round++) {
        connect(crowd, CONNECTIONS / 4, CrowdRequests::largestSubmission);
        connect(crowd, CONNECTIONS / 4, CrowdRequests::submissionWithoutEnd);
        connect(crowd, CONNECTIONS / 4, CrowdRequests::headersWithoutEnd);
        connect(crowd, FEW_CONNECTIONS, () -> requests);
        connect(crowd, FEW_CONNECTIONS, CrowdRequests::nothing);
        crowd.send(PIECE_BYTES);
      }
      assertServes();
    }
  }
}
