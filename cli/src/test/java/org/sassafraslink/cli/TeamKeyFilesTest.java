package org.sassafraslink.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the edits of a team's file against the forms in which people write its keys. */
class TeamKeyFilesTest {
  private static final TeamKeyFiles.NewKey KEY = new TeamKeyFiles.NewKey("k1", "k1.s", "d1");

  private Path file;

  @BeforeEach
  void createFile(@TempDir Path folder) {
    file = folder.resolve("team.yaml");
  }

  private String addKeyTo(String before) throws IOException {
    Files.writeString(file, before);
    assertTrue(TeamKeyFiles.addKey(file, KEY).isRight());
    return Files.readString(file);
  }

  /** The separator / stands for a line break. */
  @ParameterizedTest
  @CsvSource({
    "team: t/, team: t/keys:/  - id: k1/    digest: d1/",
    "team: t/keys: []/share: 2/, team: t/keys:/  - id: k1/    digest: d1/share: 2/",
    "keys: [ ]  # none yet/, keys: # none yet/  - id: k1/    digest: d1/",
    "keys: null/, keys:/  - id: k1/    digest: d1/",
    "keys: ~/, keys:/  - id: k1/    digest: d1/",
    "keys:/- id: a/  digest: b/, keys:/- id: k1/  digest: d1/- id: a/  digest: b/",
  })
  void addsKeyToAnyFormOfTheField(String before, String after) throws IOException {
    assertEquals(after.replace('/', '\n'), addKeyTo(before.replace('/', '\n')));
  }

  @ParameterizedTest
  @ValueSource(strings = {"keys: [{id: a, digest: b}]\n", "keys: {}\n"})
  void leavesFileWithKeysOnOneLineUnchanged(String before) throws IOException {
    Files.writeString(file, before);
    assertEquals(ExitCode.USAGE, TeamKeyFiles.addKey(file, KEY).getLeft().exitCode());
    assertEquals(before, Files.readString(file));
  }

  @Test
  void addedKeyCanBeRemovedAgain() throws IOException {
    addKeyTo("team: t\nkeys: []\n");
    assertTrue(TeamKeyFiles.removeKey(file, "k1").isRight());
    assertEquals("team: t\n", Files.readString(file));
    assertTrue(TeamKeyFiles.removeKey(file, "k1").isLeft());
  }
}
