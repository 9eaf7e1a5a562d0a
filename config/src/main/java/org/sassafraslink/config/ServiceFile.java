package org.sassafraslink.config;

/**
 * A service file that has been read but not yet parsed.
 *
 * @param path the path that error messages show, relative to the operator's folder
 * @param text the content of the file
 */
public record ServiceFile(String path, String text) {}
