package org.sassafraslink.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.sassafraslink.api.Digests;

/**
 * Generates team keys, and adds their digests to, or removes them from, the service files of teams.
 *
 * <p>A file has only the digest of a key, so the key itself can be printed only when it is
 * generated. Files are edited line by line, which keeps their comments and layout.
 */
final class TeamKeyFiles {
  private static final int SECRET_BYTES = 32;

  /** A line that begins a block list of keys, or holds an empty list or an empty value. */
  private static final Pattern KEYS_LINE =
      Pattern.compile("keys:\\s*(\\[\\s*\\]|null|~)?\\s*(#.*)?");

  private static final String DEFAULT_ENTRY_INDENT = "  ";

  /**
   * A generated key.
   *
   * @param id the public id, with which the key begins
   * @param key the key that the team sends with its requests
   * @param digest the SHA-256 digest of the key, for the service file
   */
  record NewKey(String id, String key, String digest) {}

  private TeamKeyFiles() {}

  /** Generates a key of the form {@code id.secret}, with a random secret in hexadecimal digits. */
  static NewKey generateKey(String id) {
    byte[] secret = new byte[SECRET_BYTES];
    new SecureRandom().nextBytes(secret);
    String key = id + "." + HexFormat.of().formatHex(secret);
    return new NewKey(id, key, Digests.of(key));
  }

  /**
   * Adds an entry with the id and digest of {@code key} to a team's file. Fails, without an edit,
   * if the file has its keys on one line, as in {@code keys: [{id: a}]}.
   */
  static Either<CommandFailure, Path> addKey(Path file, NewKey key) {
    return editLines(
        file,
        lines -> {
          int keysLine = indexOfKeysField(lines);
          if (keysLine < 0) {
            lines.add("keys:");
            lines.addAll(entryOf(key, DEFAULT_ENTRY_INDENT));
            return Optional.empty();
          }
          String line = lines.get(keysLine);
          if (!KEYS_LINE.matcher(line).matches()) {
            return Optional.of("has its keys on one line; write each in lines of its own.");
          }
          int commentStart = line.indexOf('#');
          lines.set(keysLine, commentStart < 0 ? "keys:" : "keys: " + line.substring(commentStart));
          lines.addAll(keysLine + 1, entryOf(key, entryIndent(lines, keysLine)));
          return Optional.empty();
        });
  }

  private static List<String> entryOf(NewKey key, String indent) {
    return List.of(indent + "- id: " + key.id(), indent + "  digest: " + key.digest());
  }

  /**
   * Returns the indentation of the first entry after {@code keys:}, since all must have the same.
   */
  private static String entryIndent(List<String> lines, int keysLine) {
    return lines.stream()
        .skip(keysLine + 1L)
        .filter(line -> !line.isBlank() && !line.trim().startsWith("#"))
        .findFirst()
        .filter(line -> line.trim().startsWith("- "))
        .map(line -> line.substring(0, line.indexOf('-')))
        .orElse(DEFAULT_ENTRY_INDENT);
  }

  /** Returns the index of the line with the top-level field {@code keys}, or -1. */
  private static int indexOfKeysField(List<String> lines) {
    for (int i = 0; i < lines.size(); i++) {
      if (lines.get(i).startsWith("keys:")) {
        return i;
      }
    }
    return -1;
  }

  /**
   * Removes the entry of the key with the public id {@code id} from a team's file.
   *
   * <p>Finds only an entry that is written as {@link #addKey} does: a line with the id, then a line
   * with the digest.
   */
  static Either<CommandFailure, Path> removeKey(Path file, String id) {
    return editLines(
        file,
        lines -> {
          int entryLine = indexOfLine(lines, "- id: " + id);
          if (entryLine < 0) {
            return Optional.of("contains no key with this id.");
          }
          lines.remove(entryLine);
          if (entryLine < lines.size() && lines.get(entryLine).trim().startsWith("digest:")) {
            lines.remove(entryLine);
          }
          removeKeysFieldIfEmpty(lines);
          return Optional.empty();
        });
  }

  /** An edit of the lines of a file. */
  @FunctionalInterface
  private interface LineEdit {
    /** Edits {@code lines}, or returns why they can't be edited. */
    Optional<String> apply(List<String> lines);
  }

  private static Either<CommandFailure, Path> editLines(Path file, LineEdit edit) {
    try {
      List<String> lines = new ArrayList<>(Files.readAllLines(file));
      Optional<String> obstacle = edit.apply(lines);
      if (obstacle.isPresent()) {
        return Either.left(CommandFailure.of(ExitCode.USAGE, file + " " + obstacle.get()));
      }
      Files.write(file, lines);
      return Either.right(file);
    } catch (IOException e) {
      return Either.left(CommandFailure.of(ExitCode.USAGE, "Cannot read or write " + file + "."));
    }
  }

  /** Returns the index of the first line equal to {@code trimmedLine} after trimming, or -1. */
  private static int indexOfLine(List<String> lines, String trimmedLine) {
    for (int i = 0; i < lines.size(); i++) {
      if (lines.get(i).trim().equals(trimmedLine)) {
        return i;
      }
    }
    return -1;
  }

  /** Removes the line {@code keys:} if the line after it is not an entry of the list. */
  private static void removeKeysFieldIfEmpty(List<String> lines) {
    int keysLine = indexOfLine(lines, "keys:");
    boolean isEmpty =
        keysLine >= 0
            && (keysLine + 1 == lines.size() || !lines.get(keysLine + 1).trim().startsWith("- "));
    if (isEmpty) {
      lines.remove(keysLine);
    }
  }
}
