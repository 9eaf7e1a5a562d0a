package org.sassafraslink.entry.cancelling;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.sassafraslink.platform.fleet.NodeSettingsFile;

/** An entry daemon that runs as a process, and is started again on the same addresses. */
final class EntryDaemon {
  /** The options of deploy/system.toml. */
  private static final List<String> JVM_OPTIONS =
      List.of(
          "-Xmx96m",
          "-Xss256k",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-XX:+ExitOnOutOfMemoryError",
          "-Dio.netty.allocator.type=unpooled",
          "-Dio.netty.noPreferDirect=true",
          "-Dio.netty.machineId=02:00:00:00:00:01");

  private static final String MAIN_CLASS = "org.sassafraslink.entry.Main";

  private final String node;
  private final Path settings;
  private final File log;
  private final int callerPort;
  private final int readinessPort;
  private volatile Process process;
  private volatile boolean isPaused;
  private volatile boolean inRotation;

  private EntryDaemon(String node, Path settings, File log, int callerPort, int readinessPort) {
    this.node = node;
    this.settings = settings;
    this.log = log;
    this.callerPort = callerPort;
    this.readinessPort = readinessPort;
  }

  /** Writes the settings of a daemon, which is not started yet. */
  static EntryDaemon create(
      Path folder, String node, int storePort, int vmApiPort, List<Integer> ports)
      throws IOException {
    Path settings = folder.resolve(node + ".toml");
    Files.writeString(
        settings,
        String.format(
            Locale.ROOT,
            """
            nodeName = "%1$s"
            ip = "127.0.0.1"
            zone = "%2$s"
            portRange = [%3$d,%4$d]
            [listen]
            frontend = "127.0.0.1:%5$d"
            readiness = "127.0.0.1:%6$d"
            [limits]
            cpuShare = 0.36
            cores = 1
            memoryMb = 330
            maxFds = 4100
            [bounds]
            contactMs = %9$d
            configApplyMs = 3000
            graceS = 6
            gangTimeoutMs = 4000
            maxHoldMs = 6000
            stopTimeoutMs = %10$d
            cancel_ms = %11$d
            visible_ms = 3000
            status_s = 120
            noticeMs = 5500
            migrationS = 1.5
            maintenanceS = 2
            leaseMs = 3000
            impactMs = 4500
            [platform]
            address = "127.0.0.1:%7$d"
            [cloudApi]
            address = "127.0.0.1:%8$d"
            dutyPerS = 64.0
            """,
            node,
            EntryFleet.ZONE,
            ports.get(0),
            ports.get(1),
            ports.get(2),
            ports.get(3),
            storePort,
            vmApiPort,
            CancelledJobsPlay.CONTACT_MILLIS,
            CancelledJobsPlay.STOP_MILLIS,
            CancelledJobsPlay.CANCEL_MILLIS));
    File log = folder.resolve(node + ".log").toFile();
    return new EntryDaemon(node, settings, log, ports.get(2), ports.get(3));
  }

  /**
   * Starts the process.
   *
   * @param jar the program, or an empty text for the classes of this checkout
   */
  void start(String jar) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(JVM_OPTIONS);
    if (jar.isEmpty()) {
      command.addAll(List.of("-cp", System.getProperty("java.class.path"), MAIN_CLASS));
    } else {
      command.addAll(List.of("-jar", jar));
    }
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put(NodeSettingsFile.PATH_VARIABLE, settings.toString());
    process =
        builder
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start();
  }

  String node() {
    return node;
  }

  int callerPort() {
    return callerPort;
  }

  int readinessPort() {
    return readinessPort;
  }

  Process process() {
    return process;
  }

  boolean isAlive() {
    Process current = process;
    return current != null && current.isAlive();
  }

  /** Returns whether a fault holds the process stopped. */
  boolean isPaused() {
    return isPaused;
  }

  void setPaused(boolean paused) {
    isPaused = paused;
  }

  /** Returns whether new connections are forwarded to the daemon. */
  boolean inRotation() {
    return inRotation;
  }

  void setInRotation(boolean isForwardedTo) {
    inRotation = isForwardedTo;
  }
}
