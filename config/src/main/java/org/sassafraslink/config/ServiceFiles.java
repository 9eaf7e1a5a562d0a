package org.sassafraslink.config;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.sassafraslink.api.Digests;
import org.sassafraslink.api.model.FleetConfig;
import org.sassafraslink.api.model.FleetConfig.AnswerCheck;
import org.sassafraslink.api.model.FleetConfig.AvailabilityBudget;
import org.sassafraslink.api.model.FleetConfig.JobQueue;
import org.sassafraslink.api.model.FleetConfig.MaintenancePlan;
import org.sassafraslink.api.model.FleetConfig.Pool;
import org.sassafraslink.api.model.FleetConfig.Queue;
import org.sassafraslink.api.model.FleetConfig.Service;
import org.sassafraslink.api.model.FleetConfig.Team;
import org.sassafraslink.api.model.FleetConfig.TeamKey;
import org.sassafraslink.api.model.FleetConfig.WorkClass;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.api.lowlevel.Compose;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;
import org.snakeyaml.engine.v2.nodes.Node;

/** Gathers service files into one configuration, or reports all their faults at once. */
public final class ServiceFiles {
  private static final int MAX_LIMIT = 1_000_000;
  private static final int MAX_POOL = 100_000;
  private static final int MAX_SLOTS = 64;
  private static final int MAX_PORT = 65_535;
  private static final int MAX_TIMEOUT_MILLIS = 600_000;
  private static final int DEFAULT_TIMEOUT_MILLIS = 5_000;
  private static final int DEFAULT_DRAIN_MILLIS = 60_000;
  private static final int DEFAULT_SLOTS = 8;

  /** Where something was defined, for faults found after parsing. */
  private record Place(String file, int line) {}

  private final List<FileFault> faults = new ArrayList<>();
  private final Map<String, Pool> pools = new TreeMap<>();
  private final Map<String, Service> services = new TreeMap<>();
  private final Map<String, JobQueue> jobQueues = new TreeMap<>();
  private final Map<String, Team> teams = new TreeMap<>();
  private final Map<String, MaintenancePlan> plans = new TreeMap<>();
  private final Map<String, Place> places = new TreeMap<>();

  private ServiceFiles() {}

  /** Gathers {@code files}; the result does not depend on their order. */
  public static Either<ImmutableList<FileFault>, FleetConfig> gather(List<SourceFile> files) {
    ServiceFiles gathering = new ServiceFiles();
    files.forEach(gathering::read);
    gathering.checkReferences();
    return gathering.faults.isEmpty()
        ? Either.right(gathering.config())
        : Either.left(ImmutableList.copyOf(gathering.faults));
  }

  private FleetConfig config() {
    return new FleetConfig(
        FleetConfig.SCHEMA,
        ImmutableMap.copyOf(pools),
        ImmutableMap.copyOf(services),
        ImmutableMap.copyOf(jobQueues),
        ImmutableMap.copyOf(teams),
        ImmutableMap.copyOf(plans));
  }

  private void read(SourceFile file) {
    LoadSettings settings = LoadSettings.builder().setLabel(file.path()).build();
    try {
      int documents = 0;
      for (Node node : new Compose(settings).composeAllFromString(file.text())) {
        documents++;
        readDocument(file.path(), node);
      }
      if (documents == 0) {
        faults.add(new FileFault(file.path(), 0, "the file is empty"));
      }
    } catch (YamlEngineException e) {
      faults.add(new FileFault(file.path(), 0, "not valid YAML: " + firstLine(e.getMessage())));
    }
  }

  private void readDocument(String file, Node node) {
    YamlFields fields = YamlFields.of(file, node, faults);
    if (!fields.text("schema").equals(FleetConfig.SCHEMA)) {
      fields.fault(fields.lineOf("schema"), "'schema' must be " + FleetConfig.SCHEMA);
    }
    String kind = fields.text("kind");
    String name = fields.name("name");
    Place before = places.put(kind + " " + name, new Place(file, fields.line()));
    if (before != null) {
      fields.fault(
          fields.lineOf("name"),
          kind + " '" + name + "' is also in " + before.file() + ":" + before.line());
    }
    switch (kind) {
      case "pool" -> pools.put(name, pool(name, fields));
      case "service" -> services.put(name, service(name, fields));
      case "job-queue" -> jobQueues.put(name, new JobQueue(name, workClass(fields)));
      case "team" -> teams.put(name, team(name, fields));
      case "maintenance-plan" -> plans.put(name, plan(name, fields));
      default -> fields.fault(fields.lineOf("kind"), "unknown kind '" + kind + "'");
    }
    fields.refuseUnknown();
  }

  private static Pool pool(String name, YamlFields fields) {
    boolean spare = fields.flag("spare", false);
    return new Pool(name, spare ? 0 : fields.integer("size", 0, MAX_POOL), spare);
  }

  private static Service service(String name, YamlFields fields) {
    return new Service(
        name,
        fields.name("pool"),
        fields.integer("port", 1, MAX_PORT),
        fields.integer("slots", 1, MAX_SLOTS, DEFAULT_SLOTS),
        fields.choice("answer-check", AnswerCheck.class, AnswerCheck.FRESH_CONNECTION),
        availability(fields),
        fields.byName(fields.mappings("queues", ServiceFiles::queue), Queue::name));
  }

  private static AvailabilityBudget availability(YamlFields fields) {
    Optional<YamlFields> budget = fields.mapping("availability");
    if (budget.isEmpty()) {
      fields.fault(fields.line(), "field 'availability' is required");
      return new AvailabilityBudget(0, 0);
    }
    YamlFields inner = budget.get();
    int most = inner.integer("max-unavailable", 0, MAX_POOL);
    int inZone = inner.integer("max-unavailable-per-zone", 0, MAX_POOL, most);
    inner.refuseUnknown();
    return new AvailabilityBudget(most, inZone);
  }

  private static Queue queue(YamlFields fields) {
    return new Queue(
        fields.name("name"),
        workClass(fields),
        fields.flag("open", false),
        fields.integer("timeout-ms", 1, MAX_TIMEOUT_MILLIS, DEFAULT_TIMEOUT_MILLIS));
  }

  private static WorkClass workClass(YamlFields fields) {
    return fields.choice("class", WorkClass.class, WorkClass.COUNTER);
  }

  private static Team team(String name, YamlFields fields) {
    return new Team(
        name,
        fields.integer("share", 1, MAX_LIMIT),
        fields.integer("limit", 0, MAX_LIMIT),
        fields.mappings("keys", ServiceFiles::key));
  }

  private static TeamKey key(YamlFields fields) {
    TeamKey key = new TeamKey(fields.name("id"), fields.text("digest"));
    if (!Digests.isWellFormed(key.digest())) {
      fields.fault(fields.lineOf("digest"), "'digest' must be sha256: and 64 hex digits");
    }
    return key;
  }

  private static MaintenancePlan plan(String name, YamlFields fields) {
    return new MaintenancePlan(
        name,
        fields.integer("generation", 1, MAX_LIMIT),
        fields.texts("pools"),
        fields.integer("drain-timeout-ms", 1, MAX_TIMEOUT_MILLIS, DEFAULT_DRAIN_MILLIS));
  }

  private void checkReferences() {
    for (Service service : services.values()) {
      if (!pools.containsKey(service.pool())) {
        faultAt("service " + service.name(), "no pool is named '" + service.pool() + "'");
      }
    }
    for (MaintenancePlan plan : plans.values()) {
      plan.pools().stream()
          .filter(pool -> !pools.containsKey(pool))
          .forEach(pool -> faultAt("maintenance-plan " + plan.name(), "no pool '" + pool + "'"));
    }
    checkKeysAreUnique();
    if (pools.values().stream().filter(Pool::spare).count() > 1) {
      faults.add(new FileFault("(all files)", 0, "only one pool may be the spare"));
    }
  }

  private void checkKeysAreUnique() {
    Map<String, String> owners = new TreeMap<>();
    for (Team team : teams.values()) {
      for (TeamKey key : team.keys()) {
        String other = owners.put(key.id(), team.name());
        if (other != null) {
          faultAt("team " + team.name(), "key id '" + key.id() + "' is also one of " + other);
        }
      }
    }
  }

  private void faultAt(String what, String message) {
    Place place = places.get(what);
    faults.add(new FileFault(place.file(), place.line(), message));
  }

  private static String firstLine(String message) {
    return message == null ? "" : message.lines().collect(toImmutableList()).toString();
  }
}
