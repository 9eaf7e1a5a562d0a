package org.sassafraslink.entry.crowd;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Supplier;

/**
 * Clients that send bytes on many connections, read no answers and keep their connections open
 * until the crowd is closed.
 */
final class ClientCrowd implements AutoCloseable {
  /** Bytes of answers that a client's operating system takes from the server. */
  private static final int RECEIVE_BUFFER_BYTES = 4_096;

  /** A connection attempt that takes longer fails, and ends the attempts. */
  private static final int CONNECT_TIMEOUT_MILLIS = 5_000;

  /** Time without any progress after which no client can send any more. */
  private static final long STALL_MILLIS = 3_000;

  private static final long POLL_MILLIS = 10;

  /** Pause after each piece, so that the server mostly reads it before the next one, in ms. */
  private static final long PIECE_PAUSE_MILLIS = 5;

  /** One client's connection and the bytes that it has still to send. */
  private record Client(SocketChannel channel, ByteBuffer unsent) {}

  private final List<Client> clients = new ArrayList<>();

  private ClientCrowd() {}

  /** Returns a crowd without clients. */
  static ClientCrowd empty() {
    return new ClientCrowd();
  }

  /**
   * Adds clients, as far as the server accepts their connections, that will send the bytes that
   * {@code bytes} returns for each.
   */
  void connect(InetSocketAddress server, int connections, Supplier<byte[]> bytes)
      throws IOException {
    for (int i = 0; i < connections; i++) {
      SocketChannel channel = SocketChannel.open();
      channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
      try {
        channel.socket().connect(server, CONNECT_TIMEOUT_MILLIS);
      } catch (IOException e) {
        channel.close();
        return;
      }
      channel.configureBlocking(false);
      clients.add(new Client(channel, ByteBuffer.wrap(bytes.get())));
    }
  }

  /**
   * Sends in turn {@code pieceBytes} on each connection, until all bytes are sent or the server
   * takes no more.
   */
  void send(int pieceBytes) throws IOException, InterruptedException {
    List<Client> sending = new ArrayList<>(clients);
    long lastProgressNanos = System.nanoTime();
    while (!sending.isEmpty() && System.nanoTime() - lastProgressNanos < STALL_MILLIS * 1_000_000) {
      boolean hasProgress = false;
      for (Iterator<Client> rest = sending.iterator(); rest.hasNext(); ) {
        Client client = rest.next();
        hasProgress |= sendPiece(client, pieceBytes);
        if (!client.unsent.hasRemaining()) {
          rest.remove();
        }
      }
      if (hasProgress) {
        lastProgressNanos = System.nanoTime();
      }
      Thread.sleep(hasProgress ? PIECE_PAUSE_MILLIS : POLL_MILLIS);
    }
  }

  private static boolean sendPiece(Client client, int pieceBytes) {
    ByteBuffer unsent = client.unsent;
    int end = unsent.limit();
    unsent.limit(Math.min(end, unsent.position() + pieceBytes));
    try {
      return client.channel.write(unsent) > 0;
    } catch (IOException e) {
      // The server has closed the connection, which it may.
      unsent.limit(end).position(end);
      return true;
    } finally {
      unsent.limit(end);
    }
  }

  @Override
  public void close() throws IOException {
    for (Client client : clients) {
      client.channel.close();
    }
  }
}
