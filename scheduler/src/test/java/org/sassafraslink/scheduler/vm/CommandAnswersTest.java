package org.sassafraslink.scheduler.vm;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against decisions on a list of VMs that does not show the last command to a VM. */
class CommandAnswersTest {
  private static final String VM = "vm";
  private static final long LIST_MILLIS = 1_000;

  static Stream<Arguments> commands() {
    return Stream.of(
        arguments("no command", true, true, answers -> {}),
        arguments("command without an answer", false, false, answers -> answers.recordSending(VM)),
        arguments(
            "answered before the list",
            true,
            true,
            answers -> {
              answers.recordSending(VM);
              answers.recordAnswer(VM, LIST_MILLIS - 1);
            }),
        arguments(
            "answered when the list was requested",
            true,
            false,
            answers -> answers.recordAnswer(VM, LIST_MILLIS)),
        arguments(
            "second command",
            false,
            false,
            answers -> {
              answers.recordAnswer(VM, LIST_MILLIS - 1);
              answers.recordSending(VM);
            }),
        arguments(
            "command to another VM", true, true, answers -> answers.recordSending("another VM")),
        arguments(
            "forgotten",
            true,
            true,
            answers -> {
              answers.recordSending(VM);
              answers.reset();
            }));
  }

  private static Arguments arguments(
      String name, boolean isAnswered, boolean isShown, Consumer<CommandAnswers> commands) {
    return Arguments.of(name, isAnswered, isShown, commands);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("commands")
  void listShowsOnlyCommandsAnsweredBeforeItsRequest(
      String name, boolean isAnswered, boolean isShown, Consumer<CommandAnswers> commands) {
    CommandAnswers answers = CommandAnswers.create();
    commands.accept(answers);
    assertEquals(isAnswered, answers.isAnswered(VM), name);
    assertEquals(isShown, answers.areShownBy(VM, LIST_MILLIS), name);
  }
}
