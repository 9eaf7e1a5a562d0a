package org.sassafraslink.entry.process;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.primitives.Longs;
import io.vavr.control.Either;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.sassafraslink.entry.connection.CallerLimits;

/**
 * The settings of the limits on callers, each of which is set by a command-line flag or an
 * environment variable. A flag takes precedence over the variable, and the variable over the
 * default.
 */
public enum CallerLimitSettings {
  MAX_HELD_BYTES(
      "max-held-bytes",
      "most bytes held for requests and responses of callers; default: a quarter of the heap",
      4 << 20,
      1 << 30),
  MAX_CONNECTIONS(
      "max-connections",
      "most open connections of callers; default: 3000, or fewer with a small heap or few"
          + " descriptors",
      1,
      100_000),
  RECEIVE_TIMEOUT(
      "receive-timeout-ms",
      "longest time from the first to the last byte of a request; default: 60000",
      1_000,
      3_600_000),
  STALL_TIMEOUT(
      "stall-timeout-ms",
      "longest time without a further byte of a request that has begun; default: 20000",
      1_000,
      3_600_000),
  RESPONSE_TIMEOUT(
      "response-timeout-ms",
      "longest time that a caller may take to receive a response; default: 30000",
      1_000,
      3_600_000),
  SOCKET_BUFFER_BYTES(
      "socket-buffer-bytes",
      "size of the operating system's receive and send buffer of a connection; default: 32768",
      4_096,
      4 << 20);

  private static final String ENVIRONMENT_PREFIX = "SASSAFRASLINK_";

  /** Part of the heap that callers may use. */
  private static final long HELD_HEAP_PART = 4;

  private static final int DEFAULT_MAX_CONNECTIONS = 3_000;

  /** Heap for each connection, most of it for decoding what one read has brought. */
  private static final int CONNECTION_HEAP_BYTES = 32 << 10;

  /** Descriptors that are not used for sockets: files and the event loop's own. */
  private static final int FILE_DESCRIPTORS = 200;

  /** Part of the other descriptors that callers may use; the rest is for the process's calls. */
  private static final double CALLER_DESCRIPTOR_PART = 0.75;

  private final String flag;
  private final String description;
  private final long min;
  private final long max;

  CallerLimitSettings(String flag, String description, long min, long max) {
    this.flag = flag;
    this.description = description;
    this.min = min;
    this.max = max;
  }

  /** Returns the name of the command-line flag, without the leading hyphens. */
  public String flag() {
    return flag;
  }

  /** Returns the name of the environment variable, which is derived from the flag. */
  public String environmentVariable() {
    return ENVIRONMENT_PREFIX + flag.toUpperCase(Locale.ROOT).replace('-', '_');
  }

  /** Returns the help text, with the range and the environment variable. */
  public String description() {
    return description + " (" + min + " to " + max + ") [" + environmentVariable() + "]";
  }

  /**
   * Returns the limits.
   *
   * @param values the given values; a setting without one has its default
   * @param heapBytes the largest size of the heap
   * @param maxDescriptors how many files and sockets the process may have open
   * @return the limits, or a sentence for each invalid value
   */
  public static Either<ImmutableList<String>, CallerLimits> parse(
      ImmutableMap<CallerLimitSettings, String> values, long heapBytes, int maxDescriptors) {
    ImmutableList.Builder<String> errors = ImmutableList.builder();
    Map<CallerLimitSettings, Long> parsed = new EnumMap<>(CallerLimitSettings.class);
    for (CallerLimitSettings setting : values()) {
      String text = values.get(setting);
      Long value =
          text == null
              ? Long.valueOf(setting.defaultValue(heapBytes, maxDescriptors))
              : Longs.tryParse(text);
      if (value == null || value < setting.min || value > setting.max) {
        errors.add(
            String.format(
                "--%s is '%s' but must be a number from %d to %d.",
                setting.flag, text, setting.min, setting.max));
      }
      parsed.put(setting, value);
    }
    ImmutableList<String> found = errors.build();
    return found.isEmpty() ? Either.right(limits(parsed)) : Either.left(found);
  }

  private static CallerLimits limits(Map<CallerLimitSettings, Long> values) {
    return new CallerLimits(
        values.get(MAX_HELD_BYTES),
        values.get(MAX_CONNECTIONS).intValue(),
        values.get(RECEIVE_TIMEOUT),
        values.get(STALL_TIMEOUT),
        values.get(RESPONSE_TIMEOUT),
        values.get(SOCKET_BUFFER_BYTES).intValue());
  }

  private long defaultValue(long heapBytes, int maxDescriptors) {
    return switch (this) {
      case MAX_HELD_BYTES -> Math.max(min, Math.min(max, heapBytes / HELD_HEAP_PART));
      case MAX_CONNECTIONS -> {
        double descriptors = (maxDescriptors - FILE_DESCRIPTORS) * CALLER_DESCRIPTOR_PART;
        long connections =
            Math.min(
                DEFAULT_MAX_CONNECTIONS,
                Math.min(heapBytes / CONNECTION_HEAP_BYTES, (long) descriptors));
        yield Math.max(min, connections);
      }
      case RECEIVE_TIMEOUT -> 60_000;
      case STALL_TIMEOUT -> 20_000;
      case RESPONSE_TIMEOUT -> 30_000;
      case SOCKET_BUFFER_BYTES -> 32_768;
    };
  }
}
