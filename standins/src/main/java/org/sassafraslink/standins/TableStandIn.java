package org.sassafraslink.standins;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import java.util.TreeMap;
import org.sassafraslink.api.Json;
import org.sassafraslink.api.platform.PlatformFailure;
import org.sassafraslink.api.platform.Row;
import org.sassafraslink.api.platform.TableService;
import org.sassafraslink.api.platform.Transaction;

/**
 * Simulates the platform's table in memory, and appends each transaction to a journal file if it
 * has one.
 *
 * <p>A table that is created from the journal of an earlier one has the same rows and versions,
 * also if the earlier process was killed.
 */
public final class TableStandIn implements TableService {
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final Optional<Path> journal;
  private long lastVersion;
  private long readCount;
  private long commitCount;

  private TableStandIn(Optional<Path> journal) {
    this.journal = journal;
  }

  /** Creates an empty table without a journal. */
  public static TableStandIn inMemory() {
    return new TableStandIn(Optional.empty());
  }

  /**
   * Creates a table from the journal at {@code path}, to which it appends. The table is empty if
   * the file does not exist.
   *
   * @throws IOException if the journal cannot be read
   */
  public static TableStandIn journaled(Path path) throws IOException {
    TableStandIn table = new TableStandIn(Optional.of(path));
    if (Files.exists(path)) {
      for (String line : Files.readAllLines(path)) {
        table.applyWrites(Json.readTrusted(line, Transaction.class));
      }
    }
    return table;
  }

  @Override
  public synchronized Either<PlatformFailure, Optional<Row>> read(String key) {
    readCount++;
    return Either.right(Optional.ofNullable(rows.get(key)));
  }

  @Override
  public synchronized Either<PlatformFailure, ImmutableList<Row>> scan(String prefix) {
    readCount++;
    return Either.right(
        ImmutableList.copyOf(rows.subMap(prefix, prefix + Character.MAX_VALUE).values()));
  }

  @Override
  public synchronized Either<PlatformFailure, Long> commit(Transaction transaction) {
    for (Transaction.Check check : transaction.checks()) {
      long actualVersion =
          Optional.ofNullable(rows.get(check.key())).map(Row::version).orElse(Row.ABSENT);
      if (actualVersion != check.version()) {
        return Either.left(new PlatformFailure.Conflict(check.key(), actualVersion));
      }
    }
    commitCount++;
    appendToJournal(transaction);
    return Either.right(applyWrites(transaction));
  }

  /** Returns the number of reads and scans served since the table was created. */
  public synchronized long readCount() {
    return readCount;
  }

  /** Returns the number of transactions committed since the table was created. */
  public synchronized long commitCount() {
    return commitCount;
  }

  /** Applies the writes under a new version and returns that version. */
  private long applyWrites(Transaction transaction) {
    lastVersion++;
    for (Transaction.Write write : transaction.writes()) {
      if (write.value().isPresent()) {
        rows.put(write.key(), new Row(write.key(), lastVersion, write.value().get()));
      } else {
        rows.remove(write.key());
      }
    }
    return lastVersion;
  }

  private void appendToJournal(Transaction transaction) {
    journal.ifPresent(
        path -> {
          try {
            Files.writeString(
                path,
                Json.write(transaction) + "\n",
                StandardCharsets.UTF_8,
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
  }
}
