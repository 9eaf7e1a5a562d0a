package org.sassafraslink.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how the tool reads its flags and environment variables, up to the exit code. */
class MainTest {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(Map<String, String> environment, String... arguments) throws IOException {
    return Main.runTool(
        arguments,
        environment,
        new PrintStream(out, true, StandardCharsets.UTF_8),
        new PrintStream(err, true, StandardCharsets.UTF_8));
  }

  private String printed() {
    return out.toString(StandardCharsets.UTF_8);
  }

  @Test
  void outputFormatIsReadFromEnvironment() throws IOException {
    assertEquals(0, run(Map.of("SASSAFRASLINK_OUTPUT", "json"), "keys", "make", "k1"));
    assertTrue(printed().startsWith("{"), printed());
  }

  @Test
  void flagGoesBeforeEnvironment() throws IOException {
    run(Map.of("SASSAFRASLINK_OUTPUT", "json"), "keys", "make", "k1", "--output", "text");
    assertTrue(printed().startsWith("key: "), printed());
  }

  @Test
  void unknownOutputFormatIsUsageError() throws IOException {
    assertEquals(
        ExitCode.USAGE.code(), run(Map.of("SASSAFRASLINK_OUTPUT", "xml"), "keys", "make", "k1"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"localhost:8081", "127.0.0.1:8081", "ftp://127.0.0.1:8081", ""})
  void adminUrlWithoutHttpSchemeIsUsageError(String url) throws IOException {
    assertEquals(ExitCode.USAGE.code(), run(Map.of(), "status", "--admin", url));
    String message = err.toString(StandardCharsets.UTF_8);
    assertTrue(message.startsWith("--admin = '" + url + "': must be a URL"), message);
  }
}
