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
import org.sassafraslink.config.FileFault;
import org.sassafraslink.config.ServiceFiles;
import org.sassafraslink.config.SourceFile;

/** Finds service files below a folder and gathers them into a configuration. */
final class FileGatherer {
  private static final String SUFFIX = ".sassafras.yaml";
  private static final String BASE_FILE = ".sassafras-base";

  private FileGatherer() {}

  static Either<ToolFailure, FleetConfig> gather(Path folder) {
    try (Stream<Path> paths = Files.walk(folder)) {
      List<Path> files = paths.filter(path -> path.toString().endsWith(SUFFIX)).sorted().toList();
      if (files.isEmpty()) {
        return Either.left(
            ToolFailure.of(ExitCode.INVALID_FILES, "No *" + SUFFIX + " below " + folder + "."));
      }
      ImmutableList.Builder<SourceFile> sources = ImmutableList.builder();
      for (Path file : files) {
        sources.add(new SourceFile(folder.relativize(file).toString(), Files.readString(file)));
      }
      return ServiceFiles.gather(sources.build()).mapLeft(FileGatherer::toFailure);
    } catch (IOException e) {
      return Either.left(
          ToolFailure.of(ExitCode.INVALID_FILES, "Cannot read " + e.getMessage() + "."));
    }
  }

  /** The version on which the files in {@code folder} are based, if it was noted. */
  static Optional<Long> base(Path folder) {
    try {
      return Optional.of(Long.parseLong(Files.readString(folder.resolve(BASE_FILE)).trim()));
    } catch (IOException | NumberFormatException e) {
      return Optional.empty();
    }
  }

  /** Notes the version on which the files in {@code folder} are based. */
  static void writeBase(Path folder, long version) throws IOException {
    Files.writeString(folder.resolve(BASE_FILE), version + "\n");
  }

  private static ToolFailure toFailure(ImmutableList<FileFault> faults) {
    return new ToolFailure(
        ExitCode.INVALID_FILES,
        faults.stream().map(FileFault::toString).collect(ImmutableList.toImmutableList()));
  }
}
