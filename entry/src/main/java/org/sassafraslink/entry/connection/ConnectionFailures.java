package org.sassafraslink.entry.connection;

import io.netty.channel.ChannelHandlerContext;

/** Handles exceptions that the event loop has caught on a connection. */
final class ConnectionFailures {
  private ConnectionFailures() {}

  /**
   * Closes the connection. A lack of memory is also passed to the handler of uncaught exceptions,
   * which ends the process: one that runs on without memory would look alive but answer nobody.
   */
  static void close(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof OutOfMemoryError) {
      Thread thread = Thread.currentThread();
      thread.getUncaughtExceptionHandler().uncaughtException(thread, cause);
    }
    context.close();
  }
}
