import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client that sends one request on a connection of its own. */
final class Client {
  /**
   * The answer to a request.
   *
   * @param status the status; 0 if there was no answer until the deadline, -1 if the connection failed
   */
  record Answer(int status, String body) {}

  private Client() {}

  static Answer call(int port, String method, String path, String body, int deadlineMillis) throws Exception {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
      socket.setSoTimeout(deadlineMillis);
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      String head =
          method + " " + path + " HTTP/1.1\r\nHost: " + World.HOST + "\r\nAuthorization: Bearer " + World.API_KEY
              + "\r\nX-Sassafraslink-Deadline-Ms: " + deadlineMillis
              + "\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
              + "\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().write(bytes);
      socket.getOutputStream().flush();
      ByteArrayOutputStream received = new ByteArrayOutputStream();
      socket.getInputStream().transferTo(received);
      String text = received.toString(StandardCharsets.UTF_8);
      int headEnd = text.indexOf("\r\n\r\n");
      return text.startsWith("HTTP/1.1 ") && headEnd > 0
          ? new Answer(Integer.parseInt(text.substring(9, 12)), text.substring(headEnd + 4))
          : new Answer(-1, "");
    } catch (java.net.SocketTimeoutException e) {
      return new Answer(0, "");
    } catch (IOException e) {
      return new Answer(-1, "");
    }
  }
}
