package org.sassafraslink.daemon.process;

import com.google.common.base.Splitter;
import java.util.List;

/**
 * Identifies the reboot of a VM for a maintenance plan.
 *
 * <p>It is stored as text in the VM's ownership row and sent with each request to reboot the VM. A
 * planner that takes over from another one can parse it, and knows that the VM was rebooted when
 * the VM is listed with a higher incarnation.
 *
 * @param plan the name of the maintenance plan
 * @param generation the generation of the plan
 * @param incarnationBefore the VM's incarnation before the reboot
 */
record RebootOperation(String plan, int generation, String vm, long incarnationBefore) {
  private static final char SEPARATOR = ':';
  private static final int FIELD_COUNT = 4;

  /** Returns the text form, {@code plan:generation:incarnation:vm}. */
  String format() {
    return plan + SEPARATOR + generation + SEPARATOR + incarnationBefore + SEPARATOR + vm;
  }

  /**
   * Parses the result of {@link #format}.
   *
   * @throws RuntimeException if the text does not have this form
   */
  static RebootOperation parse(String text) {
    List<String> fields = Splitter.on(SEPARATOR).limit(FIELD_COUNT).splitToList(text);
    return new RebootOperation(
        fields.get(0),
        Integer.parseInt(fields.get(1)),
        fields.get(3),
        Long.parseLong(fields.get(2)));
  }
}
