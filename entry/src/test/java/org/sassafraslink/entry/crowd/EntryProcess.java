package org.sassafraslink.entry.crowd;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.sassafraslink.platform.fleet.NodeSettingsFile;

/** A process with the entry daemon, with few descriptors. */
public final class EntryProcess {
  /** The smallest machine has 330 MB for a heap of 96 MB; these processes have less of both. */
  private static final int HEAP_MB = 32;

  /** The heap of the processes on the smallest machine. */
  public static final int USUAL_HEAP_MB = 96;

  static final int MACHINE_MB = machineMegabytes(HEAP_MB);

  /** The operating system's limit on the descriptors of the process. */
  static final int MAX_DESCRIPTORS = 600;

  /** A process that is not ready, or a request not answered, after this time hangs. */
  private static final int HANG_SECONDS = 60;

  private static final int SERVERS = 4;
  private static final long POLL_MILLIS = 100;

  private final Process process;
  private final Path output;
  private final InetSocketAddress callerAddress;

  private EntryProcess(Process process, Path output, InetSocketAddress callerAddress) {
    this.process = process;
    this.output = output;
    this.callerAddress = callerAddress;
  }

  /** Starts a process with little memory. */
  static EntryProcess start(Path folder, int storePort) throws Exception {
    return start(folder, storePort, HEAP_MB);
  }

  /** Starts a process that uses the store at {@code storePort}, and waits until it is ready. */
  public static EntryProcess start(Path folder, int storePort, int heapMegabytes) throws Exception {
    int[] ports = freePorts();
    Path settings = folder.resolve("node.toml");
    Files.writeString(settings, settings(ports, storePort, machineMegabytes(heapMegabytes)));
    Path output = folder.resolve("output");
    List<String> command =
        List.of(
            "sh",
            "-c",
            "ulimit -n " + MAX_DESCRIPTORS + " && exec \"$@\"",
            "sh",
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx" + heapMegabytes + "m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            // Otherwise a lack of memory closes some connection and may go unnoticed.
            "-XX:+ExitOnOutOfMemoryError",
            "-XX:TieredStopAtLevel=1",
            "-Dio.netty.allocator.type=unpooled",
            "-Dio.netty.noPreferDirect=true",
            "-Dio.netty.machineId=02:00:00:00:00:01",
            "-cp",
            System.getProperty("java.class.path"),
            "org.sassafraslink.entry.Main");
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put(NodeSettingsFile.PATH_VARIABLE, settings.toString());
    Process process = builder.redirectErrorStream(true).redirectOutput(output.toFile()).start();
    EntryProcess entry =
        new EntryProcess(
            process, output, new InetSocketAddress(InetAddress.getLoopbackAddress(), ports[0]));
    try {
      entry.waitUntilReady();
      return entry;
    } catch (Exception | Error e) {
      entry.stop();
      throw e;
    }
  }

  private static int machineMegabytes(int heapMegabytes) {
    return 330 - (USUAL_HEAP_MB - heapMegabytes);
  }

  private static int[] freePorts() throws IOException {
    ServerSocket[] sockets = new ServerSocket[SERVERS];
    int[] ports = new int[SERVERS];
    for (int i = 0; i < SERVERS; i++) {
      sockets[i] = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      ports[i] = sockets[i].getLocalPort();
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  private static String settings(int[] ports, int storePort, int machineMegabytes) {
    return String.format(
        Locale.ROOT,
        """
        nodeName = "n"
        ip = "127.0.0.1"
        zone = "z"
        portRange = [%2$d,%4$d]
        [listen]
        frontend = "127.0.0.1:%1$d"
        readiness = "127.0.0.1:%3$d"
        [limits]
        cpuShare = 0.75
        cores = 1
        memoryMb = %7$d
        maxFds = %6$d
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
        impactMs = 4000
        [platform]
        address = "127.0.0.1:%5$d"
        [cloudApi]
        address = "127.0.0.1:%5$d"
        """,
        ports[0],
        ports[1],
        ports[2],
        ports[3],
        storePort,
        MAX_DESCRIPTORS,
        machineMegabytes);
  }

  private void waitUntilReady() throws Exception {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(HANG_SECONDS);
    while (true) {
      try {
        if (ordinaryRequestStatus().equals("200")) {
          return;
        }
      } catch (IOException e) {
        // The server does not listen yet.
      }
      if (System.nanoTime() > endNanos || !isAlive()) {
        throw new IllegalStateException("not ready: " + outputTail());
      }
      Thread.sleep(POLL_MILLIS);
    }
  }

  InetSocketAddress callerAddress() {
    return callerAddress;
  }

  public boolean isAlive() {
    return process.isAlive();
  }

  /** Returns the resident memory of the process, in MB. */
  long residentMegabytes() throws IOException {
    return statusMegabytes("VmRSS:");
  }

  /** Returns the highest resident memory of the process so far, in MB. */
  public long peakMegabytes() throws IOException {
    return statusMegabytes("VmHWM:");
  }

  /** Returns the processor time that the process has used, in ms. */
  public long processorMillis() {
    return process.info().totalCpuDuration().orElseThrow().toMillis();
  }

  private long statusMegabytes(String field) throws IOException {
    for (String line : Files.readAllLines(procFolder().resolve("status"))) {
      if (line.startsWith(field)) {
        return Long.parseLong(line.replaceAll("\\D", "")) / 1_024;
      }
    }
    throw new IllegalStateException("no resident memory: " + outputTail());
  }

  long openDescriptors() throws IOException {
    try (Stream<Path> descriptors = Files.list(procFolder().resolve("fd"))) {
      return descriptors.count();
    }
  }

  private Path procFolder() {
    return Path.of("/proc", String.valueOf(process.pid()));
  }

  /** Submits a small job on a new connection and returns the status code of the response. */
  public String ordinaryRequestStatus() throws IOException {
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(HANG_SECONDS * 1_000);
      socket.connect(callerAddress, HANG_SECONDS * 1_000);
      String body = "{\"spec\":\"x\",\"phases\":[{\"count\":1,\"cpu\":1}]}";
      String request = CrowdRequests.post(CrowdRequests.newJobId(), body.length()) + body;
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      byte[] statusLine = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
      String text = new String(statusLine, StandardCharsets.US_ASCII);
      return text.substring(text.indexOf(' ') + 1);
    }
  }

  /** Returns the lines that the process has written which contain a text. */
  public List<String> outputWith(String text) throws IOException {
    return Files.readAllLines(output).stream().filter(line -> line.contains(text)).toList();
  }

  /** Returns the last lines that the process has written. */
  public String outputTail() throws IOException {
    List<String> lines = Files.readAllLines(output);
    return String.join("\n", lines.subList(Math.max(0, lines.size() - 12), lines.size()));
  }

  public void stop() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor();
  }
}
