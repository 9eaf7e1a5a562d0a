package org.sassafraslink.scheduler;

/**
 * What the holder row of the scheduling lease says.
 *
 * @param process names the process among all that ever ran
 * @param epoch rises with each change; the fencing token
 * @param address where others find whether the process lives
 */
record LeaseHolder(String node, String process, long epoch, String address) {
  static final LeaseHolder NOBODY = new LeaseHolder("", "", 0, "");

  String encode() {
    return node + " " + process + " " + epoch + " " + address;
  }

  static LeaseHolder decode(String value) {
    String[] parts = value.split(" ", -1);
    try {
      return parts.length == 4
          ? new LeaseHolder(parts[0], parts[1], Long.parseLong(parts[2]), parts[3])
          : NOBODY;
    } catch (NumberFormatException e) {
      return NOBODY;
    }
  }
}
