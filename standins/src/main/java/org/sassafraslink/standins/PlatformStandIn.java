package org.sassafraslink.standins;

import com.google.common.collect.ImmutableList;
import io.jooby.Context;
import io.jooby.Jooby;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.sassafraslink.api.Json;
import org.sassafraslink.api.platform.PlatformFailure;
import org.sassafraslink.api.platform.Row;
import org.sassafraslink.api.platform.Transaction;
import org.sassafraslink.api.platform.VmList.Vm;
import org.sassafraslink.api.platform.VmList.VmRole;
import org.sassafraslink.api.platform.VmList.VmState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Simulates the platform in one process: the table, the object store and the VM list.
 *
 * <p>Routes below {@code /control/} change the VM list and set faults of the store. The table and
 * the objects survive a restart of the process only with {@code --folder}.
 */
public final class PlatformStandIn {
  private static final Logger LOG = LoggerFactory.getLogger("platform-stand-in");
  private static final int HANDLER_THREADS = 32;
  private static final int HTTP_UNAVAILABLE = 503;
  private static final int HTTP_NOT_FOUND = 404;
  private static final int HTTP_CONFLICT = 409;

  private final TableStandIn table;
  private final Map<String, String> objects = new ConcurrentHashMap<>();
  private final VmListStandIn vms;
  private final Optional<Path> dataFolder;
  private volatile StoreFault storeFault = StoreFault.none();

  private PlatformStandIn(TableStandIn table, VmListStandIn vms, Optional<Path> dataFolder) {
    this.table = table;
    this.vms = vms;
    this.dataFolder = dataFolder;
  }

  /** Restores the table from {@code --folder}, if it is given, and starts the HTTP server. */
  public static void main(String[] args) throws IOException {
    OptionParser parser = new OptionParser();
    OptionSpec<String> hostOption =
        parser.accepts("host").withRequiredArg().defaultsTo("127.0.0.1");
    OptionSpec<Integer> portOption =
        parser.accepts("port").withRequiredArg().ofType(Integer.class).defaultsTo(9400);
    OptionSpec<String> folderOption =
        parser
            .accepts(
                "folder", "folder of the table's journal and the objects; default: only in memory")
            .withRequiredArg();
    OptionSpec<Long> listLagOption =
        parser.accepts("list-lag-ms").withRequiredArg().ofType(Long.class).defaultsTo(300L);
    OptionSpec<Long> rebootOption =
        parser.accepts("reboot-ms").withRequiredArg().ofType(Long.class).defaultsTo(2000L);
    OptionSpec<String> vmOption =
        parser
            .accepts("vm", "id,ENTRY|BACKEND,address,zone")
            .withRequiredArg()
            .withValuesSeparatedBy(' ');
    OptionSet options = parser.parse(args);
    Optional<Path> dataFolder = Optional.ofNullable(options.valueOf(folderOption)).map(Path::of);
    TableStandIn table =
        dataFolder.isPresent()
            ? TableStandIn.journaled(
                Files.createDirectories(dataFolder.get()).resolve("table.journal"))
            : TableStandIn.inMemory();
    VmListStandIn vms =
        new VmListStandIn(options.valueOf(listLagOption), options.valueOf(rebootOption));
    for (String spec : options.valuesOf(vmOption)) {
      // Recorded with a time in the past, so that the list has these VMs without a delay.
      vms.putVm(parseVm(spec), System.currentTimeMillis() - options.valueOf(listLagOption));
    }
    PlatformStandIn platform = new PlatformStandIn(table, vms, dataFolder);
    HttpServers.start(
        options.valueOf(hostOption),
        options.valueOf(portOption),
        HANDLER_THREADS,
        platform::addRoutes);
    LOG.info(
        "Platform stand-in listens on {}:{}.",
        options.valueOf(hostOption),
        options.valueOf(portOption));
  }

  private static Vm parseVm(String spec) {
    String[] parts = spec.split(",", -1);
    return new Vm(parts[0], VmRole.valueOf(parts[1]), parts[2], parts[3], VmState.LIVE, 1);
  }

  private void addRoutes(Jooby app) {
    app.get("/table/row", ctx -> runWithStoreFault(ctx, () -> readRow(ctx)));
    app.get("/table/scan", ctx -> runWithStoreFault(ctx, () -> scanRows(ctx)));
    app.post("/table/transact", ctx -> runWithStoreFault(ctx, () -> commitTransaction(ctx)));
    app.put("/objects/{digest}", ctx -> runWithStoreFault(ctx, () -> putObject(ctx)));
    app.get("/objects/{digest}", ctx -> runWithStoreFault(ctx, () -> readObject(ctx)));
    app.get("/vms", ctx -> Json.write(vms.delayedListing(System.currentTimeMillis())));
    app.post("/vms/{id}/reboot", this::rebootVm);
    app.get("/control/down", ctx -> Json.write(vms.downVmIds(System.currentTimeMillis())));
    app.post("/control/vms", this::putVm);
    app.delete("/control/vms/{id}", this::removeVm);
    app.post("/control/fault", this::setStoreFault);
    app.get(
        "/control/counts",
        ctx -> Json.write(ImmutableList.of(table.readCount(), table.commitCount())));
  }

  /** A call of the table or the object store, to which the current store fault applies. */
  @FunctionalInterface
  private interface StoreAction {
    Object run() throws IOException;
  }

  /** Runs {@code action}, and rejects or delays it or its response if there is a store fault. */
  private Object runWithStoreFault(Context ctx, StoreAction action)
      throws IOException, InterruptedException {
    StoreFault currentFault = storeFault;
    switch (currentFault.modeAt(System.currentTimeMillis())) {
      case DOWN -> {
        return respondWithError(ctx, HTTP_UNAVAILABLE, "store is down");
      }
      case SLOW -> Thread.sleep(currentFault.delayMillis());
      case DROP_ANSWERS -> {
        Object response = action.run();
        // A client whose timeout is shorter than this delay does not receive the response.
        Thread.sleep(currentFault.delayMillis());
        return response;
      }
      case UP -> {}
    }
    return action.run();
  }

  private static Object respondWithError(Context ctx, int status, String body) {
    ctx.setResponseCode(status);
    return body;
  }

  private Object readRow(Context ctx) {
    Optional<Row> row = table.read(ctx.query("key").value()).get();
    return row.<Object>map(Json::write).orElseGet(() -> respondWithError(ctx, HTTP_NOT_FOUND, ""));
  }

  private Object scanRows(Context ctx) {
    return Json.write(table.scan(ctx.query("prefix").value("")).get());
  }

  private Object commitTransaction(Context ctx) {
    Transaction transaction = Json.readTrusted(ctx.body().value(""), Transaction.class);
    Either<PlatformFailure, Long> result = table.commit(transaction);
    return result.isRight()
        ? Json.write(Map.of("version", result.get()))
        : respondWithError(ctx, HTTP_CONFLICT, Json.write(result.getLeft()));
  }

  private Object putObject(Context ctx) throws IOException {
    String digest = ctx.path("digest").value();
    String content = ctx.body().value("");
    objects.put(digest, content);
    if (dataFolder.isPresent()) {
      Files.writeString(dataFolder.get().resolve(digest), content);
    }
    return digest;
  }

  private Object readObject(Context ctx) throws IOException {
    String digest = ctx.path("digest").value();
    if (objects.containsKey(digest)) {
      return objects.get(digest);
    }
    Optional<Path> file = dataFolder.map(folder -> folder.resolve(digest));
    return file.isPresent() && Files.exists(file.get())
        ? Files.readString(file.get())
        : respondWithError(ctx, HTTP_NOT_FOUND, "");
  }

  private Object rebootVm(Context ctx) {
    String id = ctx.path("id").value();
    LOG.info("Reboot of VM {} requested.", id);
    vms.startReboot(id, ctx.query("operation").value(), System.currentTimeMillis());
    return "";
  }

  private Object putVm(Context ctx) {
    vms.putVm(Json.readTrusted(ctx.body().value(""), Vm.class), System.currentTimeMillis());
    return "";
  }

  private Object removeVm(Context ctx) {
    vms.removeVm(ctx.path("id").value(), System.currentTimeMillis());
    return "";
  }

  private Object setStoreFault(Context ctx) {
    long nowMillis = System.currentTimeMillis();
    storeFault =
        new StoreFault(
            StoreFault.Mode.valueOf(ctx.query("mode").value()),
            nowMillis + ctx.query("for-ms").longValue(),
            ctx.query("delay-ms").longValue(0));
    LOG.info(
        "Store mode is set to {} for {} ms.",
        storeFault.mode(),
        storeFault.untilMillis() - nowMillis);
    return "";
  }
}
