package org.sassafraslink.entry.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests the announcements of accepted jobs between two processes on loopback, and that the release
 * of the lease is still announced on the same connections.
 */
class LeaseHolderConnectionTest {
  private static final String JOB_ID = "0123456789abcdef";

  /** Long enough on a busy machine; no successful test waits until it expires. */
  private static final int TIMEOUT_SECONDS = 30;

  /** How long a test waits for a message that must not arrive. */
  private static final int ABSENCE_MILLIS = 200;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final BlockingQueue<String> announcedToHolder = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> holderEvents = new LinkedBlockingQueue<>();
  private final LeaseHolderConnection holder =
      new LeaseHolderConnection(
          group.next(), Runnable::run, new SystemClock(), 0, announcedToHolder::add);
  private final LeaseHolderConnection watcher =
      new LeaseHolderConnection(group.next(), Runnable::run, new SystemClock(), 250, id -> {});
  private InetSocketAddress address;

  @BeforeEach
  void connect() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      address = new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
    }
    holder.listen(group, address);
    watcher.watch(
        address.getAddress().getHostAddress() + ":" + address.getPort(),
        () -> holderEvents.add("gone"));
  }

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private String nextAnnounced() throws InterruptedException {
    return announcedToHolder.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  @Test
  void announcesJobToHolder() throws InterruptedException {
    // Announcements before the connection is open are lost.
    String received = null;
    for (int i = 0; i < 100 && received == null; i++) {
      watcher.announceJob(JOB_ID);
      received = announcedToHolder.poll(ABSENCE_MILLIS, TimeUnit.MILLISECONDS);
    }
    assertEquals(JOB_ID, received);
  }

  @Test
  void holderAnnouncesItsOwnJobsToItself() throws InterruptedException {
    holder.announceJob(JOB_ID);
    assertEquals(JOB_ID, nextAnnounced());
  }

  @Test
  void incompleteAnnouncementIsIgnored() throws IOException, InterruptedException {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      OutputStream output = socket.getOutputStream();
      output.write((JOB_ID + "0123").getBytes(StandardCharsets.US_ASCII));
      output.flush();
      assertEquals(JOB_ID, nextAnnounced());
    }
    assertNull(announcedToHolder.poll(ABSENCE_MILLIS, TimeUnit.MILLISECONDS));
  }

  /** Guards against callers that are told to wait long although another entry VM can serve them. */
  @Test
  void holderIsActiveFromConnectionToRelease() throws InterruptedException {
    assertTrue(waitUntilHolderActive(true), "active when connected");
    holder.announceRelease();
    assertTrue(waitUntilHolderActive(false), "not active after the release");
  }

  private boolean waitUntilHolderActive(boolean expected) throws InterruptedException {
    for (int i = 0; i < 100 && watcher.isHolderActive() != expected; i++) {
      Thread.sleep(ABSENCE_MILLIS);
    }
    return watcher.isHolderActive() == expected;
  }

  @Test
  void releaseIsAnnouncedToWatcher() throws InterruptedException {
    String received = null;
    for (int i = 0; i < 100 && received == null; i++) {
      holder.announceRelease();
      received = holderEvents.poll(ABSENCE_MILLIS, TimeUnit.MILLISECONDS);
    }
    assertEquals("gone", received);
  }

  /** Guards against heartbeats that others take for the release of the lease, or that stay out. */
  @Test
  void heartbeatsArriveWhileTheLeaseIsHeld() throws InterruptedException {
    assertTrue(waitUntilHolderActive(true), "connected");
    assertTrue(watcher.lastHeartbeatMillis().isEmpty());
    holder.setHolding(true);
    for (int i = 0; i < 100 && watcher.lastHeartbeatMillis().isEmpty(); i++) {
      Thread.sleep(ABSENCE_MILLIS);
    }
    assertTrue(watcher.lastHeartbeatMillis().isPresent());
    assertNull(holderEvents.poll());
    assertNull(announcedToHolder.poll(), "the request for heartbeats is no job");
    holder.announceRelease();
    assertEquals("gone", holderEvents.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }
}
