package org.sassafraslink.entry.cancelling;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A connection of a caller to an entry daemon, which is used for one request after the other. */
public final class CallerConnection implements Closeable {
  /** The status of a request without a complete response until its deadline. */
  static final int NO_RESPONSE = 0;

  /** The status of a request whose connection failed or was closed. */
  static final int CONNECTION_FAILED = -1;

  public static final String HOST = "q.example";
  public static final String API_KEY = "k2ex5wa5xwjbvk9m68k7";
  public static final int DEFAULT_DEADLINE_MILLIS = 3_000;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  private final Socket socket;
  private final InputStream input;
  private boolean isReusable = true;

  private CallerConnection(Socket socket) throws IOException {
    this.socket = socket;
    this.input = new BufferedInputStream(socket.getInputStream());
  }

  /** Opens a connection, which fails after a second. */
  public static CallerConnection open(InetSocketAddress address) throws IOException {
    Socket socket = new Socket();
    try {
      socket.setTcpNoDelay(true);
      socket.connect(address, CONNECT_TIMEOUT_MILLIS);
      return new CallerConnection(socket);
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  /** Sends a request on a connection of its own, and returns the status of the response. */
  public static int sendOnce(
      InetSocketAddress address, String method, String path, String body, int timeoutMillis) {
    try (CallerConnection connection = open(address)) {
      return connection.send(method, path, body, timeoutMillis);
    } catch (IOException e) {
      return CONNECTION_FAILED;
    }
  }

  public boolean isReusable() {
    return isReusable;
  }

  /** Sends a request and returns the status of the response. */
  public int send(String method, String path, String body, int timeoutMillis) {
    try {
      socket.setSoTimeout(timeoutMillis);
      socket.getOutputStream().write(encode(method, path, body, timeoutMillis));
      int status = receive();
      isReusable &= status > 0;
      return status;
    } catch (SocketTimeoutException e) {
      isReusable = false;
      return NO_RESPONSE;
    } catch (IOException | NumberFormatException e) {
      isReusable = false;
      return CONNECTION_FAILED;
    }
  }

  /** Sends a request without its last byte, as when the connection breaks. */
  void sendIncomplete(String method, String path, String body) throws IOException {
    byte[] request = encode(method, path, body, DEFAULT_DEADLINE_MILLIS);
    isReusable = false;
    socket.getOutputStream().write(request, 0, request.length - 1);
  }

  private static byte[] encode(String method, String path, String body, int timeoutMillis) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    String head =
        String.join(
            "\r\n",
            method + " " + path + " HTTP/1.1",
            "Host: " + HOST,
            "Authorization: Bearer " + API_KEY,
            "X-Sassafraslink-Deadline-Ms: " + timeoutMillis,
            "Content-Type: application/json",
            "Content-Length: " + bytes.length,
            "",
            "");
    ByteArrayOutputStream request = new ByteArrayOutputStream();
    request.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
    request.writeBytes(bytes);
    return request.toByteArray();
  }

  private int receive() throws IOException {
    String statusLine = readLine();
    int status = Integer.parseInt(statusLine.substring(9, 12));
    int length = 0;
    for (String line = readLine(); !line.isEmpty(); line = readLine()) {
      String header = line.toLowerCase(Locale.ROOT);
      if (header.startsWith("content-length:")) {
        length = Integer.parseInt(header.substring(header.indexOf(':') + 1).trim());
      } else if (header.startsWith("connection:") && header.contains("close")) {
        isReusable = false;
      }
    }
    return input.readNBytes(length).length == length ? status : CONNECTION_FAILED;
  }

  private String readLine() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int b = input.read(); b != '\n'; b = input.read()) {
      if (b < 0) {
        throw new IOException("closed");
      }
      if (b != '\r') {
        line.append((char) b);
      }
    }
    return line.toString();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
