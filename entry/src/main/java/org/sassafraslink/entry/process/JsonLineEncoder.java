package org.sassafraslink.entry.process;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.core.encoder.EncoderBase;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;

/** Writes one JSON object a line; lines of the event log are objects already. */
final class JsonLineEncoder extends EncoderBase<ILoggingEvent> {
  /** The logger whose messages are whole JSON objects. */
  static final String EVENT_LOGGER = "event";

  @Override
  public byte[] headerBytes() {
    return new byte[0];
  }

  @Override
  public byte[] footerBytes() {
    return new byte[0];
  }

  @Override
  public byte[] encode(ILoggingEvent event) {
    String line =
        event.getLoggerName().equals(EVENT_LOGGER) ? event.getFormattedMessage() : wrap(event);
    return (line + '\n').getBytes(StandardCharsets.UTF_8);
  }

  private static String wrap(ILoggingEvent event) {
    ObjectNode line = JsonNodeFactory.instance.objectNode();
    line.put("t", event.getTimeStamp());
    line.put("event", "log");
    line.put("level", event.getLevel().toString());
    line.put("logger", event.getLoggerName());
    line.put("message", event.getFormattedMessage());
    IThrowableProxy cause = event.getThrowableProxy();
    if (cause != null) {
      line.put("cause", cause.getClassName() + ": " + cause.getMessage());
    }
    return line.toString();
  }
}
