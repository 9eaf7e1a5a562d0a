package org.sassafraslink.config;

/**
 * An error that the parser found in a service file, and the place where the operator corrects it.
 *
 * @param file the path of the file, or {@code (all files)} if the error concerns several files
 * @param line the line of the error, from 1; 0 if the error concerns the whole file
 * @param message what is wrong, for the operator
 */
public record ServiceFileError(String file, int line, String message) {
  /** Returns the error in the format of compilers, {@code file:line: message}. */
  @Override
  public String toString() {
    return file + ":" + line + ": " + message;
  }
}
