import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Forwards connections to a minion. While the minion is dark or does not listen, connections hang as
 * those to a machine without power: they are accepted, and nothing is forwarded or answered.
 */
final class Proxy {
  private final String backend;
  private final List<Socket> hanging = new CopyOnWriteArrayList<>();
  private volatile boolean dark;

  Proxy(String address, String backend) throws IOException {
    this.backend = backend;
    ServerSocket server = new ServerSocket();
    server.bind(Http.parse(address));
    startThread(
        () -> {
          while (true) {
            Socket caller = server.accept();
            startThread(() -> forward(caller));
          }
        });
  }

  void setDark(boolean newDark) {
    dark = newDark;
  }

  private void forward(Socket caller) throws IOException {
    Socket minion = new Socket();
    try {
      if (!dark) {
        minion.connect(Http.parse(backend), 500);
      }
    } catch (IOException e) {
      minion.close();
    }
    if (!minion.isConnected()) {
      hanging.add(caller);
      return;
    }
    caller.setTcpNoDelay(true);
    minion.setTcpNoDelay(true);
    startThread(() -> copy(caller, minion));
    startThread(() -> copy(minion, caller));
  }

  private void copy(Socket from, Socket to) throws IOException {
    byte[] buffer = new byte[8_192];
    try {
      InputStream input = from.getInputStream();
      OutputStream output = to.getOutputStream();
      int length = input.read(buffer);
      while (length > 0) {
        if (dark) {
          hanging.add(from);
          hanging.add(to);
          return;
        }
        output.write(buffer, 0, length);
        length = input.read(buffer);
      }
    } catch (IOException e) {
      // Closed below, as at the end of the stream.
    }
    if (dark) {
      hanging.add(to);
    } else {
      from.close();
      to.close();
    }
  }

  private interface Work {
    void run() throws IOException;
  }

  private static void startThread(Work work) {
    Thread thread =
        new Thread(
            () -> {
              try {
                work.run();
              } catch (IOException e) {
                // The connection or the trial has ended.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }
}
