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

/**
 * Parses and validates service files and merges them into one configuration.
 *
 * <p>A file has one or more YAML documents; each document defines one pool, service, job queue,
 * team or maintenance plan. Parsing continues after an error, so that operators see all errors at
 * once.
 */
public final class ServiceFileParser {
  /** The upper bound of a team's share and limit and of a maintenance plan's generation. */
  private static final int MAX_TEAM_OR_PLAN_VALUE = 1_000_000;

  private static final int MAX_POOL_SIZE = 100_000;
  private static final int MAX_SLOTS = 64;
  private static final int MAX_PORT = 65_535;
  private static final int MAX_TIMEOUT_MILLIS = 600_000;
  private static final int DEFAULT_TIMEOUT_MILLIS = 5_000;
  private static final int DEFAULT_DRAIN_TIMEOUT_MILLIS = 60_000;
  private static final int DEFAULT_SLOTS = 8;

  /** The file and line at which a document starts. */
  private record Position(String file, int line) {}

  private final List<ServiceFileError> errors = new ArrayList<>();
  private final Map<String, Pool> pools = new TreeMap<>();
  private final Map<String, Service> services = new TreeMap<>();
  private final Map<String, JobQueue> jobQueues = new TreeMap<>();
  private final Map<String, Team> teams = new TreeMap<>();
  private final Map<String, MaintenancePlan> plans = new TreeMap<>();

  /** The positions of all documents, keyed by kind and name, as in {@code "pool routes"}. */
  private final Map<String, Position> positions = new TreeMap<>();

  private ServiceFileParser() {}

  /**
   * Merges {@code files} into one configuration.
   *
   * <p>The configuration does not depend on the order of the files; the order of the errors does.
   *
   * @return the configuration, or all errors if there are any
   */
  public static Either<ImmutableList<ServiceFileError>, FleetConfig> parse(
      List<ServiceFile> files) {
    ServiceFileParser parser = new ServiceFileParser();
    files.forEach(parser::parseFile);
    parser.checkReferencesAndUniqueness();
    return parser.errors.isEmpty()
        ? Either.right(parser.buildConfig())
        : Either.left(ImmutableList.copyOf(parser.errors));
  }

  private FleetConfig buildConfig() {
    return new FleetConfig(
        FleetConfig.SCHEMA,
        ImmutableMap.copyOf(pools),
        ImmutableMap.copyOf(services),
        ImmutableMap.copyOf(jobQueues),
        ImmutableMap.copyOf(teams),
        ImmutableMap.copyOf(plans));
  }

  private void parseFile(ServiceFile file) {
    LoadSettings settings = LoadSettings.builder().setLabel(file.path()).build();
    try {
      int documentCount = 0;
      for (Node node : new Compose(settings).composeAllFromString(file.text())) {
        documentCount++;
        parseDocument(file.path(), node);
      }
      if (documentCount == 0) {
        errors.add(new ServiceFileError(file.path(), 0, "the file is empty"));
      }
    } catch (YamlEngineException e) {
      errors.add(
          new ServiceFileError(file.path(), 0, "not valid YAML: " + joinLines(e.getMessage())));
    }
  }

  private void parseDocument(String file, Node node) {
    YamlFields fields = YamlFields.of(file, node, errors);
    if (!fields.text("schema").equals(FleetConfig.SCHEMA)) {
      fields.reportError(fields.lineOf("schema"), "'schema' must be " + FleetConfig.SCHEMA);
    }
    String kind = fields.text("kind");
    String name = fields.name("name");
    Position earlier = positions.put(kind + " " + name, new Position(file, fields.startLine()));
    if (earlier != null) {
      fields.reportError(
          fields.lineOf("name"),
          kind + " '" + name + "' is already defined in " + earlier.file() + ":" + earlier.line());
    }
    switch (kind) {
      case "pool" -> pools.put(name, parsePool(name, fields));
      case "service" -> services.put(name, parseService(name, fields));
      case "job-queue" -> jobQueues.put(name, new JobQueue(name, parseWorkClass(fields)));
      case "team" -> teams.put(name, parseTeam(name, fields));
      case "maintenance-plan" -> plans.put(name, parsePlan(name, fields));
      default -> fields.reportError(fields.lineOf("kind"), "unknown kind '" + kind + "'");
    }
    fields.reportUnknownFields();
  }

  /**
   * Returns the pool that a document defines.
   *
   * <p>The spare pool has no configured size, so a {@code size} together with {@code spare: true}
   * is rejected as an unknown field.
   */
  private static Pool parsePool(String name, YamlFields fields) {
    boolean spare = fields.booleanValue("spare", false);
    return new Pool(name, spare ? 0 : fields.integerValue("size", 0, MAX_POOL_SIZE), spare);
  }

  private static Service parseService(String name, YamlFields fields) {
    return new Service(
        name,
        fields.name("pool"),
        fields.integerValue("port", 1, MAX_PORT),
        fields.integerValue("slots", 1, MAX_SLOTS, DEFAULT_SLOTS),
        fields.enumValue("answer-check", AnswerCheck.class, AnswerCheck.FRESH_CONNECTION),
        parseAvailability(fields),
        fields.indexByName(
            fields.mappingList("queues", ServiceFileParser::parseQueue), Queue::name));
  }

  private static AvailabilityBudget parseAvailability(YamlFields fields) {
    Optional<YamlFields> mapping = fields.mapping("availability");
    if (mapping.isEmpty()) {
      fields.reportError(fields.startLine(), "field 'availability' is required");
      return new AvailabilityBudget(0, 0);
    }
    YamlFields budgetFields = mapping.get();
    int maxUnavailable = budgetFields.integerValue("max-unavailable", 0, MAX_POOL_SIZE);
    int maxUnavailablePerZone =
        budgetFields.integerValue("max-unavailable-per-zone", 0, MAX_POOL_SIZE, maxUnavailable);
    budgetFields.reportUnknownFields();
    return new AvailabilityBudget(maxUnavailable, maxUnavailablePerZone);
  }

  private static Queue parseQueue(YamlFields fields) {
    return new Queue(
        fields.name("name"),
        parseWorkClass(fields),
        fields.booleanValue("open", false),
        fields.integerValue("timeout-ms", 1, MAX_TIMEOUT_MILLIS, DEFAULT_TIMEOUT_MILLIS));
  }

  private static WorkClass parseWorkClass(YamlFields fields) {
    return fields.enumValue("class", WorkClass.class, WorkClass.COUNTER);
  }

  private static Team parseTeam(String name, YamlFields fields) {
    return new Team(
        name,
        fields.integerValue("share", 1, MAX_TEAM_OR_PLAN_VALUE),
        fields.integerValue("limit", 0, MAX_TEAM_OR_PLAN_VALUE),
        fields.mappingList("keys", ServiceFileParser::parseKey));
  }

  private static TeamKey parseKey(YamlFields fields) {
    TeamKey key = new TeamKey(fields.name("id"), fields.text("digest"));
    if (!Digests.isWellFormed(key.digest())) {
      fields.reportError(
          fields.lineOf("digest"), "'digest' must be sha256: followed by 64 hex digits");
    }
    return key;
  }

  private static MaintenancePlan parsePlan(String name, YamlFields fields) {
    return new MaintenancePlan(
        name,
        fields.integerValue("generation", 1, MAX_TEAM_OR_PLAN_VALUE),
        fields.textList("pools"),
        fields.integerValue(
            "drain-timeout-ms", 1, MAX_TIMEOUT_MILLIS, DEFAULT_DRAIN_TIMEOUT_MILLIS));
  }

  /**
   * Reports references to unknown pools, duplicate key ids, and a second spare pool. These errors
   * can be found only after all documents have been parsed.
   */
  private void checkReferencesAndUniqueness() {
    for (Service service : services.values()) {
      if (!pools.containsKey(service.pool())) {
        reportDocumentError(
            "service " + service.name(), "no pool is named '" + service.pool() + "'");
      }
    }
    for (MaintenancePlan plan : plans.values()) {
      plan.pools().stream()
          .filter(pool -> !pools.containsKey(pool))
          .forEach(
              pool ->
                  reportDocumentError(
                      "maintenance-plan " + plan.name(), "no pool is named '" + pool + "'"));
    }
    checkKeyIdsAreUnique();
    if (pools.values().stream().filter(Pool::spare).count() > 1) {
      errors.add(new ServiceFileError("(all files)", 0, "only one pool may be the spare pool"));
    }
  }

  private void checkKeyIdsAreUnique() {
    Map<String, String> teamsByKeyId = new TreeMap<>();
    for (Team team : teams.values()) {
      for (TeamKey key : team.keys()) {
        String otherTeam = teamsByKeyId.put(key.id(), team.name());
        if (otherTeam != null) {
          reportDocumentError(
              "team " + team.name(), "key id '" + key.id() + "' is also used by team " + otherTeam);
        }
      }
    }
  }

  /** Reports an error at the start of the document that defines {@code kindAndName}. */
  private void reportDocumentError(String kindAndName, String message) {
    Position position = positions.get(kindAndName);
    errors.add(new ServiceFileError(position.file(), position.line(), message));
  }

  /** Joins the lines of a message into one line of the form {@code [first, second]}. */
  private static String joinLines(String message) {
    return message == null ? "" : message.lines().collect(toImmutableList()).toString();
  }
}
