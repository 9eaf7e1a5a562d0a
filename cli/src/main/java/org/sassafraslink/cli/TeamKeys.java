package org.sassafraslink.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.sassafraslink.api.Digests;

/**
 * Makes team keys, and grants and withdraws them by changing service files.
 *
 * <p>Only the digest of a key is written; the key itself is shown once.
 */
final class TeamKeys {
  private static final int SECRET_BYTES = 32;

  /** A new key with its digest. */
  record NewKey(String id, String key, String digest) {}

  private TeamKeys() {}

  static NewKey make(String id) {
    byte[] secret = new byte[SECRET_BYTES];
    new SecureRandom().nextBytes(secret);
    String key = id + "." + HexFormat.of().formatHex(secret);
    return new NewKey(id, key, Digests.of(key));
  }

  /** Adds the digest of {@code key} to a team's file. */
  static Either<ToolFailure, Path> grant(Path file, NewKey key) {
    return edit(
        file,
        lines -> {
          int keys = indexOf(lines, "keys:");
          List<String> added = List.of("  - id: " + key.id(), "    digest: " + key.digest());
          if (keys < 0) {
            lines.add("keys:");
            lines.addAll(added);
          } else {
            lines.addAll(keys + 1, added);
          }
          return true;
        });
  }

  /** Removes the key with the public id {@code id} from a team's file. */
  static Either<ToolFailure, Path> withdraw(Path file, String id) {
    return edit(
        file,
        lines -> {
          int entry = indexOf(lines, "- id: " + id);
          if (entry < 0) {
            return false;
          }
          lines.remove(entry);
          if (entry < lines.size() && lines.get(entry).trim().startsWith("digest:")) {
            lines.remove(entry);
          }
          removeEmptyList(lines);
          return true;
        });
  }

  @FunctionalInterface
  private interface Edit {
    boolean apply(List<String> lines);
  }

  private static Either<ToolFailure, Path> edit(Path file, Edit edit) {
    try {
      List<String> lines = new ArrayList<>(Files.readAllLines(file));
      if (!edit.apply(lines)) {
        return Either.left(ToolFailure.of(ExitCode.USAGE, file + " has no such key."));
      }
      Files.write(file, lines);
      return Either.right(file);
    } catch (IOException e) {
      return Either.left(ToolFailure.of(ExitCode.USAGE, "Cannot edit " + file + "."));
    }
  }

  private static int indexOf(List<String> lines, String trimmed) {
    for (int i = 0; i < lines.size(); i++) {
      if (lines.get(i).trim().equals(trimmed)) {
        return i;
      }
    }
    return -1;
  }

  private static void removeEmptyList(List<String> lines) {
    int keys = indexOf(lines, "keys:");
    boolean isEmpty =
        keys >= 0 && (keys + 1 == lines.size() || !lines.get(keys + 1).trim().startsWith("- "));
    if (isEmpty) {
      lines.remove(keys);
    }
  }
}
