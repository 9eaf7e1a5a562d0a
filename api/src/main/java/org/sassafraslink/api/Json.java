package org.sassafraslink.api;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.guava.GuavaModule;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.vavr.control.Either;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.failure.FailureType;

/** Converts records to JSON and back. */
public final class Json {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new GuavaModule())
          .addModule(new Jdk8Module())
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private Json() {}

  /** Returns the shared mapper, which rejects unknown fields and trailing tokens. */
  public static ObjectMapper mapper() {
    return MAPPER;
  }

  /**
   * Returns {@code value} as JSON.
   *
   * @throws IllegalArgumentException if {@code value} cannot be written as JSON, which never
   *     happens for the records of this project
   */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot be written as JSON: " + value.getClass(), e);
    }
  }

  /**
   * Reads JSON from an untrusted source.
   *
   * @return the value, or a failure of type {@link FailureType#REQUEST_MALFORMED} if {@code json}
   *     is not a valid {@code type}
   */
  public static <T> Either<Failure, T> read(String json, Class<T> type) {
    try {
      T value = MAPPER.readValue(json, type);
      return value == null ? Either.left(malformed(type)) : Either.right(value);
    } catch (JsonProcessingException e) {
      return Either.left(malformed(type));
    }
  }

  /**
   * Reads JSON that this project has written itself.
   *
   * @throws IllegalStateException if {@code json} is not a valid {@code type}
   */
  public static <T> T readTrusted(String json, Class<T> type) {
    return read(json, type).getOrElseThrow(failure -> new IllegalStateException(failure.detail()));
  }

  private static Failure malformed(Class<?> type) {
    return Failure.of(FailureType.REQUEST_MALFORMED, "not a valid " + type.getSimpleName());
  }
}
