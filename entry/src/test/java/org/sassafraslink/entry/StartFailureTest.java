package org.sassafraslink.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.entry.process.FatalFailures;
import org.sassafraslink.platform.fleet.NodeSettingsFile;

/** Guards against a process that stays alive without one of its servers or threads. */
class StartFailureTest {
  /** Includes the start of the JVM, which alone can take seconds on a busy machine. */
  private static final int MAX_EXIT_SECONDS = 20;

  private static final int SERVERS = 4;

  @TempDir Path folder;

  /** Guards against a daemon that runs on without serving when an address is in use. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 3})
  void processStaysAliveWithoutServer(int usedAddress) throws Exception {
    ServerSocket[] sockets = new ServerSocket[SERVERS + 1];
    Object[] ports = new Object[sockets.length];
    for (int i = 0; i < sockets.length; i++) {
      sockets[i] = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      ports[i] = sockets[i].getLocalPort();
    }
    try {
      for (int i = 0; i < sockets.length; i++) {
        if (i != usedAddress) {
          sockets[i].close();
        }
      }
      Path settings = folder.resolve("node.toml");
      Files.writeString(settings, settings(ports));
      Path output = folder.resolve("output");
      Path errors = folder.resolve("errors");
      Process process = start(settings, output, errors);
      boolean hasExited = process.waitFor(MAX_EXIT_SECONDS, TimeUnit.SECONDS);
      process.destroyForcibly();
      String address = "127.0.0.1:" + ports[usedAddress];
      String context = Files.readString(errors) + Files.readString(output);
      assertTrue(hasExited, "alive: " + context);
      assertEquals(FatalFailures.EXIT_FATAL, process.exitValue(), context);
      assertTrue(Files.readString(errors).contains(address), context);
      assertTrue(Files.readString(output).contains(address), context);
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
  }

  /** Returns settings with the ports of the four servers, and of a platform that is down. */
  private static String settings(Object... ports) {
    return String.format(
        """
      nodeName = "n"
      role = "entry"
      machineClass = "edge"
      serves = ["edge"]
      ip = "127.0.0.1"
      zone = "z"
      region = "r"
      portRange = [%2$d,%4$d]
      seeds = []
      bootstrap = true
      discovery = "platform"
      entry = "vip"
      heartbeatMs = 1500
      commands = "invocation"
      [listen]
      frontend = "127.0.0.1:%1$d"
      readiness = "127.0.0.1:%3$d"
      controlPlane = "127.0.0.1:%5$d"
      [limits]
      cpuShare = 0.75
      cores = 1
      memoryMb = 430
      maxFds = 4100
      [bounds]
      graceS = 6
      gangTimeoutMs = 3000
      maxHoldMs = 6000
      stopTimeoutMs = 900
      status_s = 120
      noticeMs = 4500
      migrationS = 1.5
      maintenanceS = 2
      leaseMs = 3000
      thawSlackMs = 300
      impactMs = 4000
      [platform]
      address = "127.0.0.1:%5$d"
      form = "table"
      writesPerS = 600
      readsPerS = 2000
      [cloudApi]
      address = "127.0.0.1:%5$d"
      ratePerS = 64.0
      dutyPerS = 64.0
      """,
        ports);
  }

  private static Process start(Path settings, Path output, Path errors) throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx96m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "org.sassafraslink.entry.Main"));
    builder.environment().put(NodeSettingsFile.PATH_VARIABLE, settings.toString());
    return builder.redirectOutput(output.toFile()).redirectError(errors.toFile()).start();
  }

  /** Guards against a thread that ends by an error while the process seems to run. */
  @Test
  void processStaysAliveWithoutThread() throws Exception {
    List<Integer> exitCodes = new CopyOnWriteArrayList<>();
    FatalFailures failures = FatalFailures.create(EventLog.silent(), () -> {}, exitCodes::add);
    Thread.UncaughtExceptionHandler previous = Thread.getDefaultUncaughtExceptionHandler();
    try {
      failures.watchAllThreads();
      Thread thread =
          new Thread(
              () -> {
                throw new OutOfMemoryError("thrown by the test");
              });
      thread.start();
      thread.join();
      assertEquals(List.of(FatalFailures.EXIT_FATAL), exitCodes);
    } finally {
      Thread.setDefaultUncaughtExceptionHandler(previous);
    }
  }
}
