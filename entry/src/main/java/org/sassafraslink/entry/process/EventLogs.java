package org.sassafraslink.entry.process;

import org.sassafraslink.api.log.EventLog;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Event logs that are written to standard output. */
public final class EventLogs {
  private EventLogs() {}

  /** The event log of a node. */
  public static EventLog create(String node) {
    Logger logger = LoggerFactory.getLogger(JsonLineEncoder.EVENT_LOGGER);
    return EventLog.to(node, System::currentTimeMillis, logger::info);
  }
}
