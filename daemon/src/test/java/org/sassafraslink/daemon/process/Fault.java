package org.sassafraslink.daemon.process;

/**
 * A fault that starts at a step of a run and lasts for some steps.
 *
 * @param node the daemon, or the VM for faults of VMs and of the list
 */
record Fault(Kind kind, int node, int step, int steps) {
  enum Kind {
    /** The process dies; a new one starts at its address. */
    KILL,
    /** The process dies right after its next write took effect; a new one starts. */
    KILL_AFTER_WRITE,
    /** The VM is lost and later replaced by a new incarnation. */
    REPLACE_VM,
    /** The process is paused between its rounds, and wakes. */
    FREEZE,
    /** The process is paused within a round, before its next write, and wakes. */
    FREEZE_BEFORE_WRITE,
    CUT_STORE,
    CUT_PEERS,
    CUT_ALL,
    /** Its messages are lost; those to it arrive. */
    CUT_OUTGOING,
    /** The store is down for everybody. */
    STORE_DOWN,
    /** The process's writes take effect, but their answers are lost. */
    ANSWERS_LOST,
    /** The process's writes take effect only at the end of the fault; their answers are lost. */
    WRITES_LATE,
    /** Answers of peers to the process arrive late, doubled and out of order. */
    PEERS_LATE,
    /** The entry VM is missing from the list although it lives. */
    LIST_FLAP,
    /** The list does not change. */
    LIST_STALE,
    /** A backend VM dies, and is listed as live for a while. */
    BACKEND_DIES,
    /** All backend VMs of a zone die. */
    ZONE_DIES,
    /** Another operator publishes through this daemon at the same time. */
    OPERATOR_RACE,
    /** The daemon alone reaches the store, and no peer; an operator publishes through it. */
    SPLIT,
  }

  boolean isActive(int now) {
    return now >= step && now < step + steps;
  }
}
