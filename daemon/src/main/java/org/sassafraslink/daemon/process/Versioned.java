package org.sassafraslink.daemon.process;

/** A value that was read from a table row, with the version of that row. */
public record Versioned<T>(T value, long version) {}
