package org.sassafraslink.entry.process;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.core.encoder.EncoderBase;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;

/**
 * Encodes each log record as a JSON object on its own line. Messages of the event log are JSON
 * objects already and are written unchanged.
 */
final class JsonLineEncoder extends EncoderBase<ILoggingEvent> {
  /** Name of the logger of the event log, whose messages are complete JSON objects. */
  static final String EVENT_LOGGER_NAME = "event";

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
        event.getLoggerName().equals(EVENT_LOGGER_NAME)
            ? event.getFormattedMessage()
            : toJson(event);
    return (line + '\n').getBytes(StandardCharsets.UTF_8);
  }

  private static String toJson(ILoggingEvent event) {
    ObjectNode line = JsonNodeFactory.instance.objectNode();
    line.put("t", event.getTimeStamp());
    line.put("event", "log");
    line.put("level", event.getLevel().toString());
    line.put("logger", event.getLoggerName());
    line.put("message", event.getFormattedMessage());
    IThrowableProxy thrown = event.getThrowableProxy();
    if (thrown != null) {
      line.put("cause", thrown.getClassName() + ": " + thrown.getMessage());
    }
    return line.toString();
  }
}
