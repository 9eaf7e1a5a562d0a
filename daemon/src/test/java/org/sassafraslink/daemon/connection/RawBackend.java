package org.sassafraslink.daemon.connection;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;

/** A backend server that answers each request with raw bytes, made from the request's head. */
final class RawBackend implements AutoCloseable {
  private final ServerSocket listener;
  private final AtomicInteger requests = new AtomicInteger();
  private final UnaryOperator<String> answer;

  RawBackend(UnaryOperator<String> answer) throws IOException {
    this.answer = answer;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  int requests() {
    return requests.get();
  }

  /** The value of a header in a request's head. */
  static String header(String head, String name) {
    return head.lines()
        .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
        .map(line -> line.substring(name.length() + 1).trim())
        .findFirst()
        .orElse("");
  }

  private static void start(Runnable work) {
    Thread thread = new Thread(work);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        start(() -> serve(socket));
      }
    } catch (IOException e) {
      // Closed at the end of the test.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = socket.getInputStream();
      StringBuilder head = new StringBuilder();
      for (int b = in.read(); b >= 0; b = in.read()) {
        head.append((char) b);
        if (head.toString().endsWith("\r\n\r\n")) {
          String length = header(head.toString(), "Content-Length");
          in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
          requests.incrementAndGet();
          String reply = answer.apply(head.toString());
          socket.getOutputStream().write(reply.getBytes(ISO_8859_1));
          socket.getOutputStream().flush();
          if (reply.isEmpty() || reply.contains("Connection: close")) {
            return;
          }
          head.setLength(0);
        }
      }
    } catch (IOException e) {
      // The other side has closed.
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
