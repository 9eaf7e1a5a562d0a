package org.sassafraslink.cli;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.sassafraslink.api.model.FleetConfig;
import org.sassafraslink.config.ServiceFile;
import org.sassafraslink.config.ServiceFileError;
import org.sassafraslink.config.ServiceFileParser;

/**
 * Reads the service files below a folder, and reads and saves the version of the configuration on
 * which they are based.
 */
final class ServiceFileReader {
  private static final String SERVICE_FILE_SUFFIX = ".sassafras.yaml";
  private static final String BASE_VERSION_FILE = ".sassafras-base";

  private ServiceFileReader() {}

  /** Reads all service files below {@code folder}; returns the configuration that they define. */
  static Either<CommandFailure, FleetConfig> readConfig(Path folder) {
    try (Stream<Path> paths = Files.walk(folder)) {
      List<Path> servicePaths =
          paths.filter(path -> path.toString().endsWith(SERVICE_FILE_SUFFIX)).sorted().toList();
      if (servicePaths.isEmpty()) {
        return Either.left(
            CommandFailure.of(
                ExitCode.INVALID_FILES,
                "No service files (*" + SERVICE_FILE_SUFFIX + ") below " + folder + "."));
      }
      ImmutableList.Builder<ServiceFile> serviceFiles = ImmutableList.builder();
      for (Path path : servicePaths) {
        serviceFiles.add(
            new ServiceFile(folder.relativize(path).toString(), Files.readString(path)));
      }
      return ServiceFileParser.parse(serviceFiles.build()).mapLeft(ServiceFileReader::toFailure);
    } catch (IOException e) {
      return Either.left(
          CommandFailure.of(ExitCode.INVALID_FILES, "Cannot read " + e.getMessage() + "."));
    }
  }

  /**
   * Returns the version that {@link #writeBaseVersion} saved in {@code folder}, or nothing if there
   * is none or it cannot be read.
   */
  static Optional<Long> readBaseVersion(Path folder) {
    try {
      return Optional.of(
          Long.parseLong(Files.readString(folder.resolve(BASE_VERSION_FILE)).trim()));
    } catch (IOException | NumberFormatException e) {
      return Optional.empty();
    }
  }

  /** Saves {@code version} in {@code folder} as the base of the next publish of its files. */
  static void writeBaseVersion(Path folder, long version) throws IOException {
    Files.writeString(folder.resolve(BASE_VERSION_FILE), version + "\n");
  }

  private static CommandFailure toFailure(ImmutableList<ServiceFileError> errors) {
    return new CommandFailure(
        ExitCode.INVALID_FILES,
        errors.stream().map(ServiceFileError::toString).collect(ImmutableList.toImmutableList()));
  }
}
