package org.sassafraslink.daemon.process;

import com.google.common.base.Splitter;
import java.util.List;

/**
 * The name of a reboot, from which its planner, or a successor, can tell whether it has ended.
 *
 * @param incarnation the VM's incarnation before the reboot
 */
record RebootOperation(String plan, int generation, String vm, long incarnation) {
  private static final char SEPARATOR = ':';
  private static final int PARTS = 4;

  String format() {
    return plan + SEPARATOR + generation + SEPARATOR + incarnation + SEPARATOR + vm;
  }

  static RebootOperation parse(String text) {
    List<String> parts = Splitter.on(SEPARATOR).limit(PARTS).splitToList(text);
    return new RebootOperation(
        parts.get(0), Integer.parseInt(parts.get(1)), parts.get(3), Long.parseLong(parts.get(2)));
  }
}
