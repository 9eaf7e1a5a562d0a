package org.sassafraslink.scheduler;

/**
 * The holder of the scheduling lease, as stored in the lease's holder row.
 *
 * @param node the name of the VM on which the holder runs; empty if there is no holder
 * @param process id of the holder, unique among all processes that ever ran
 * @param epoch incremented each time the lease changes hands; the fencing token
 * @param address where other processes can connect to find out whether the holder is alive
 */
record LeaseHolder(String node, String process, long epoch, String address) {
  static final LeaseHolder NONE = new LeaseHolder("", "", 0, "");

  String encode() {
    return node + " " + process + " " + epoch + " " + address;
  }

  /** Decodes a holder row; {@link #NONE} if its value does not have the expected format. */
  static LeaseHolder decode(String value) {
    String[] parts = value.split(" ", -1);
    try {
      return parts.length == 4
          ? new LeaseHolder(parts[0], parts[1], Long.parseLong(parts[2]), parts[3])
          : NONE;
    } catch (NumberFormatException e) {
      return NONE;
    }
  }
}
