package org.sassafraslink.daemon.process;

/** A value with the version of the table row that holds it. */
public record Versioned<T>(T value, long version) {}
