package org.sassafraslink.entry.process;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.Evacuations;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.FleetSettings;
import org.sassafraslink.api.fleet.RowStore.Rows;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.fleet.Wave;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.platform.fleet.OperatorRows;
import org.sassafraslink.rules.version.ConfigReading;
import org.sassafraslink.scheduler.ResponseTrackingRowStore;
import org.sassafraslink.scheduler.TableRead;

/**
 * Reads the operator's rows from the store with long polls and reports new versions of the
 * configuration, new maintenance waves and the evacuations in force to listeners. A configuration
 * with a lower version than the current one is ignored.
 *
 * <p>The results of its reads also show whether this VM can reach the store.
 *
 * <p>Confined to one thread.
 */
public final class ConfigWatcher {
  /** How long a long poll waits at the store for a change, in ms. */
  private static final int LONG_POLL_MILLIS = 1_000;

  /** Pause between a failed read and the next one, in ms, unless it is the first that fails. */
  private static final int RETRY_PAUSE_MILLIS = 100;

  /** Pause after a response that was too large, in ms. */
  private static final int TOO_LARGE_PAUSE_MILLIS = 1_000;

  /**
   * Part of the bound on the application of a change that a transfer may take before it is logged
   * as slow. A change that is made during the transfer of another one waits for both.
   */
  private static final double SLOW_TRANSFER_FRACTION = 0.5;

  private final ResponseTrackingRowStore store;
  private final FleetClock clock;
  private final EventLog log;
  private final BiConsumer<Runnable, Integer> timer;
  private final Optional<Long> maxDelayMillis;
  private final Consumer<FleetSettings> onConfig;
  private final Consumer<ImmutableList<Wave>> onWaves;
  private final Consumer<Evacuations> onEvacuations;
  private final EvacuationRows evacuationRows;
  private final WaveRows waveRows;

  private Optional<FleetSettings> newestConfig = Optional.empty();

  /** Version of the store up to which changes have been read; -1 to read the whole table next. */
  private long readUpToVersion = -1;

  /** The pending read, or the last one. */
  private ReadProgress readProgress = ReadProgress.begin(0);

  /** The read of the whole table that is under way. */
  private Optional<TableRead> wholeTableRead = Optional.empty();

  private ConfigReading reading = ConfigReading.begin(0);
  private ConfigReading.State loggedState = ConfigReading.State.CURRENT;

  /** Whether the last read failed, unless it failed with {@link CallFailure#HISTORY_DISCARDED}. */
  private boolean readsFailing;

  private ConfigWatcher(
      ResponseTrackingRowStore store,
      FleetClock clock,
      EventLog log,
      BiConsumer<Runnable, Integer> timer,
      Optional<Long> maxDelayMillis,
      Consumer<FleetSettings> onConfig,
      Consumer<ImmutableList<Wave>> onWaves,
      Consumer<Evacuations> onEvacuations) {
    this.store = store;
    this.clock = clock;
    this.log = log;
    this.timer = timer;
    this.maxDelayMillis = maxDelayMillis;
    this.onConfig = onConfig;
    this.onWaves = onWaves;
    this.onEvacuations = onEvacuations;
    this.evacuationRows = new EvacuationRows(log);
    this.waveRows = new WaveRows(log);
  }

  /**
   * Returns a watcher that reads nothing until {@link #start} is called.
   *
   * @param timer runs a task on the watcher's thread after a delay in ms
   * @param maxDelayMillis bound on the time from a change of the configuration to its application,
   *     in ms; empty if the platform states none
   * @param onConfig receives each new version of the configuration
   * @param onWaves receives all known waves after each read that returned a wave
   * @param onEvacuations receives the evacuations in force after each read; its first call follows
   *     those of the other listeners with the same read
   */
  public static ConfigWatcher create(
      ResponseTrackingRowStore store,
      FleetClock clock,
      EventLog log,
      BiConsumer<Runnable, Integer> timer,
      Optional<Long> maxDelayMillis,
      Consumer<FleetSettings> onConfig,
      Consumer<ImmutableList<Wave>> onWaves,
      Consumer<Evacuations> onEvacuations) {
    return new ConfigWatcher(
        store, clock, log, timer, maxDelayMillis, onConfig, onWaves, onEvacuations);
  }

  /**
   * Starts the first read. The next one starts after each answer, or after a failure and a pause.
   */
  public void start() {
    reading = ConfigReading.begin(clock.monotonicMillis());
    readNext();
  }

  /** Returns the newest configuration that was read; empty before the first. */
  public Optional<FleetSettings> newestConfig() {
    return newestConfig;
  }

  /** Returns the read that is pending, or the last one. */
  ReadProgress readProgress() {
    return readProgress;
  }

  /** Returns how many zones are to be evacuated, as far as is known. */
  public int evacuatedZoneCount() {
    return evacuationRows.toEvacuations(reading.verifiedAtMillis()).zones().size();
  }

  /** Returns the time since a read last showed that no newer configuration exists, in ms. */
  public long millisSinceVerified(long nowMillis) {
    return nowMillis - reading.verifiedAtMillis();
  }

  /** Returns what is known about the configuration in force, and logs it if it has changed. */
  public ConfigReading.State state(long nowMillis) {
    ConfigReading.State state = currentReading().state(nowMillis, maxDelayMillis);
    if (state != loggedState) {
      log.log(
          "config.state",
          "state",
          state,
          "previous",
          loggedState,
          "version",
          newestConfig.map(FleetSettings::version).orElse(0L),
          "age",
          millisSinceVerified(nowMillis));
      loggedState = state;
    }
    return state;
  }

  /** Returns whether the store seems to be unreachable. */
  public boolean isStoreUnreachable(long nowMillis) {
    return currentReading().isStoreLost(nowMillis);
  }

  /** Returns whether the store is probably unreachable for all calls. */
  public boolean isStoreOutageLikely(long nowMillis) {
    return currentReading().isOutageLikely(nowMillis);
  }

  private ConfigReading currentReading() {
    return reading.withContact(store.lastContactMillis());
  }

  /** Returns for how long nothing has arrived from the store, in ms. */
  public long storeSilenceMillis(long nowMillis) {
    return nowMillis - store.lastContactMillis();
  }

  private void readNext() {
    long sentMillis = clock.monotonicMillis();
    readProgress = ReadProgress.begin(sentMillis);
    if (readUpToVersion < 0) {
      readWholeTable(sentMillis);
    } else {
      // After a failure the poll returns at once, to detect early that the store is reachable
      // again.
      int waitMillis = readsFailing ? 0 : LONG_POLL_MILLIS;
      store.readChanges(
          OperatorRows.TABLE,
          readUpToVersion,
          waitMillis,
          this::recordReceived,
          result ->
              result
                  .peek(changes -> applyChanges(changes, sentMillis))
                  .peekLeft(this::applyReadFailure));
    }
  }

  /** Starts a read of the whole table, or continues the one that is under way. */
  private void readWholeTable(long nowMillis) {
    if (wholeTableRead.isEmpty()) {
      wholeTableRead =
          Optional.of(
              TableRead.create(
                  store,
                  OperatorRows.TABLE,
                  ImmutableList.of(""),
                  this::recordReceived,
                  new TableRead.Listener() {
                    @Override
                    public void onPageFailed(CallFailure failure) {
                      applyReadFailure(failure);
                    }

                    @Override
                    public void onComplete(ImmutableList<StoredRow> rows, long version) {
                      wholeTableRead = Optional.empty();
                      applyWholeTable(rows, version, nowMillis);
                    }
                  }));
    }
    wholeTableRead.get().sendDuePages();
  }

  private void recordReceived(long receivedBytes, long expectedBytes) {
    readProgress =
        readProgress.recordReceived(receivedBytes, expectedBytes, clock.monotonicMillis());
    if (readProgress.containsChanges()) {
      reading = reading.recordChangeArriving();
    }
  }

  private void logReadFailure(CallFailure failure, long nowMillis) {
    log.log(
        "config.read_failed",
        "failure",
        failure,
        "after",
        nowMillis - readProgress.sentMillis(),
        "received",
        readProgress.receivedBytes(),
        "expected",
        readProgress.expectedBytes(),
        "sinceLastByte",
        readProgress.millisSinceLastByte(nowMillis),
        "sinceAnyAnswer",
        storeSilenceMillis(nowMillis));
  }

  private void applyReadFailure(CallFailure failure) {
    long nowMillis = clock.monotonicMillis();
    logReadFailure(failure, nowMillis);
    if (failure == CallFailure.HISTORY_DISCARDED) {
      log.log("config.history_discarded", "after", readUpToVersion);
      readUpToVersion = -1;
    }
    if (failure == CallFailure.HISTORY_DISCARDED || failure == CallFailure.TOO_LARGE) {
      // The store has answered, and changes may exist.
      reading = reading.recordChangeArriving();
      timer.accept(this::readNext, failure == CallFailure.TOO_LARGE ? TOO_LARGE_PAUSE_MILLIS : 0);
      return;
    }
    if (!readsFailing) {
      readsFailing = true;
      log.log("store.lost", "failure", failure, "age", millisSinceVerified(nowMillis));
    }
    reading = reading.recordFailure(nowMillis);
    timer.accept(this::readNext, reading.failures() == 1 ? 0 : RETRY_PAUSE_MILLIS);
  }

  private void logSlowTransfer() {
    long transferMillis = readProgress.transferMillis();
    maxDelayMillis
        .filter(bound -> transferMillis > bound * SLOW_TRANSFER_FRACTION)
        .ifPresent(
            bound ->
                log.log(
                    "config.slow_transfer",
                    "received",
                    readProgress.receivedBytes(),
                    "transferMillis",
                    transferMillis,
                    "bound",
                    bound));
  }

  private void applyChanges(Rows changes, long sentMillis) {
    recordSuccess(readProgress.asOfMillis(clock.monotonicMillis()), changes.version());
    applyRows(changes.rows());
    changes.rows().forEach(evacuationRows::apply);
    reportEvacuationsAndReadNext(sentMillis);
  }

  private void applyWholeTable(ImmutableList<StoredRow> rows, long version, long sentMillis) {
    recordSuccess(sentMillis, version);
    applyRows(rows);
    evacuationRows.applyWholeTable(rows);
    reportEvacuationsAndReadNext(sentMillis);
  }

  private void recordSuccess(long asOfMillis, long version) {
    if (readsFailing) {
      readsFailing = false;
      log.log("store.regained", "after", millisSinceVerified(clock.monotonicMillis()));
    }
    logSlowTransfer();
    reading = reading.recordSuccess(asOfMillis);
    readUpToVersion = version;
  }

  private void applyRows(ImmutableList<StoredRow> rows) {
    boolean wavesChanged = false;
    for (StoredRow row : rows) {
      // The configuration and the waves that were read last stay in use after a deletion.
      if (!row.deleted()) {
        wavesChanged |= applyRow(row);
      }
    }
    if (wavesChanged) {
      onWaves.accept(waveRows.toWaves());
    }
  }

  private void reportEvacuationsAndReadNext(long sentMillis) {
    onEvacuations.accept(evacuationRows.toEvacuations(sentMillis));
    readNext();
  }

  /**
   * Applies a row and returns whether it contains a wave. A row that fails unexpectedly is skipped,
   * since it must not end the reading of later changes.
   */
  private boolean applyRow(StoredRow row) {
    try {
      if (OperatorRows.isConfig(row)) {
        applyConfig(row);
      }
      return waveRows.apply(row);
    } catch (RuntimeException e) {
      log.log("config.row_failure", "row", row.key().key(), "error", e);
      return false;
    }
  }

  private void applyConfig(StoredRow row) {
    Optional<FleetSettings> decodedConfig = OperatorRows.decodeConfig(row);
    if (decodedConfig.isEmpty()) {
      log.log("config.unreadable", "row", row.version());
      return;
    }
    long previousVersion = newestConfig.map(FleetSettings::version).orElse(-1L);
    if (decodedConfig.get().version() <= previousVersion) {
      return;
    }
    newestConfig = decodedConfig;
    decodedConfig
        .get()
        .teams()
        .values()
        .forEach(
            team ->
                log.log(
                    "config.team",
                    "team",
                    team.name(),
                    "weight",
                    team.weight(),
                    "cap",
                    team.upperLimit(),
                    "keys",
                    team.keys().size()));
    log.log(
        "config.in_force",
        "version",
        decodedConfig.get().version(),
        "previous",
        previousVersion,
        "queues",
        decodedConfig.get().queues().size(),
        "teams",
        decodedConfig.get().teams().size(),
        "received",
        readProgress.receivedBytes(),
        "transferMillis",
        readProgress.transferMillis(),
        "decodeMillis",
        readProgress.millisSinceLastByte(clock.monotonicMillis()));
    onConfig.accept(decodedConfig.get());
  }
}
