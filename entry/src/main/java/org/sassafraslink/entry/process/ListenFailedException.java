package org.sassafraslink.entry.process;

import java.net.InetSocketAddress;

/** Thrown when a server of the process cannot listen on its address. */
public final class ListenFailedException extends RuntimeException {
  private static final long serialVersionUID = 1;

  ListenFailedException(String server, InetSocketAddress address, Throwable cause) {
    super("the " + server + " cannot listen on " + address, cause);
  }
}
