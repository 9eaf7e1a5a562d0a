package org.sassafraslink.daemon.version;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.sassafraslink.api.Digests;
import org.sassafraslink.api.Json;
import org.sassafraslink.api.model.FleetConfig;
import org.sassafraslink.api.model.Head;
import org.sassafraslink.rules.process.MemberSet;
import org.sassafraslink.rules.version.EffectiveConfig;
import org.sassafraslink.rules.version.Freshness;
import org.sassafraslink.rules.version.Freshness.PeerHead;
import org.sassafraslink.rules.version.KnownHead;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records the latest known head row, loads the configuration that it names, and decides whether
 * this process may apply that configuration.
 *
 * <p>Only a loaded configuration is applied. While a process knows a later head whose configuration
 * is not loaded yet, it continues to apply the loaded one until its lease ends. The lease is
 * counted from the time at which the loaded configuration was last verified to be the newest. Thus
 * a configuration is never applied for longer than the lease after a newer one was accepted.
 */
public final class ConfigTracker {
  private static final Logger LOG = LoggerFactory.getLogger("config");
  private static final int MAX_CACHED_OBJECTS = 8;

  private final Cache<String, String> objectCache =
      CacheBuilder.newBuilder().maximumSize(MAX_CACHED_OBJECTS).build();
  private final long leaseMillis;
  private final Function<String, Optional<String>> fetchObject;
  private volatile Freshness freshness;
  private volatile Optional<LoadedConfig> loadedConfig = Optional.empty();

  /** The last {@link #freshness} whose head named {@link #loadedConfig}. */
  private volatile Freshness loadedFreshness;

  /** A configuration, with the revision of the head row from which it was derived. */
  private record LoadedConfig(long headRevision, ActiveConfig active) {}

  private ConfigTracker(
      String self, long leaseMillis, Function<String, Optional<String>> fetchObject) {
    this.freshness = Freshness.create(self);
    this.loadedFreshness = freshness;
    this.leaseMillis = leaseMillis;
    this.fetchObject = fetchObject;
  }

  /**
   * Creates a tracker that does not know any head row yet.
   *
   * @param self the id of this process
   * @param leaseMillis for how long a configuration may be applied after it was verified, in ms
   * @param fetchObject fetches a published configuration by its digest, from the store or a peer
   */
  public static ConfigTracker create(
      String self, long leaseMillis, Function<String, Optional<String>> fetchObject) {
    return new ConfigTracker(self, leaseMillis, fetchObject);
  }

  /**
   * Returns the configuration to apply at {@code nowMillis}. Empty if none is loaded or if the
   * loaded one was not verified within the lease.
   */
  public Optional<ActiveConfig> activeConfig(long nowMillis) {
    return loadedFreshness.isFresh(nowMillis, leaseMillis)
        ? loadedConfig.map(LoadedConfig::active)
        : Optional.empty();
  }

  /** Returns the configuration that was loaded last, even if it may not be applied now. */
  public Optional<ActiveConfig> lastLoadedConfig() {
    return loadedConfig.map(LoadedConfig::active);
  }

  /** Returns the latest known head, and when it was last verified to be the newest. */
  public Freshness freshness() {
    return freshness;
  }

  /** Returns the configuration with this digest as JSON text, if it is in the cache. */
  public Optional<String> cachedObject(String digest) {
    return Optional.ofNullable(objectCache.getIfPresent(digest));
  }

  /** Caches the JSON text of a configuration that this process is about to publish. */
  public void cacheObject(String digest, String content) {
    objectCache.put(digest, content);
  }

  /** Applies a read of the head row that began at {@code startedMillis}. */
  public void applyHeadRead(KnownHead read, long startedMillis) {
    updateFreshness(current -> current.applyRead(read, startedMillis));
  }

  /** Applies a head that a peer has announced. */
  public void applyAnnouncement(KnownHead announced) {
    updateFreshness(current -> current.applyAnnouncement(announced));
  }

  /** Applies a peer's answer to a request for its latest head, sent at {@code askedMillis}. */
  public void applyPeerReply(String peer, long askedMillis, PeerHead reply) {
    updateFreshness(current -> current.applyPeerReply(peer, askedMillis, reply));
  }

  /** Applies a read of the member row. */
  public void applyMembers(MemberSet members) {
    updateFreshness(current -> current.applyMembers(members));
  }

  /**
   * Loads the configuration that the latest known head names, unless it is already loaded. If the
   * head has an intent, the intended configuration is fetched too, because it may be accepted
   * already: the restrictions of {@link EffectiveConfig} apply until that is known.
   *
   * <p>Blocks while an object is fetched from the store or from a peer. If an object cannot be
   * fetched, the loaded configuration stays as it is.
   */
  public void loadLatestConfig() {
    KnownHead known = freshness.known();
    if (loadedConfig.map(LoadedConfig::headRevision).orElse(-1L) == known.revision()) {
      return;
    }
    Head head = known.head();
    Optional<FleetConfig> acceptedConfig = fetchConfig(head.digest());
    Optional<FleetConfig> intendedConfig =
        head.intent().flatMap(intent -> fetchConfig(intent.digest()));
    boolean isComplete =
        acceptedConfig.isPresent() && intendedConfig.isPresent() == head.intent().isPresent();
    if (isComplete) {
      FleetConfig effectiveConfig = EffectiveConfig.of(acceptedConfig.get(), intendedConfig);
      replaceLoadedConfig(
          new LoadedConfig(known.revision(), new ActiveConfig(head.version(), effectiveConfig)));
    }
  }

  /**
   * Replaces the loaded configuration, unless another thread has loaded the same or a later one.
   */
  private synchronized void replaceLoadedConfig(LoadedConfig newConfig) {
    if (loadedConfig.isPresent() && loadedConfig.get().headRevision() >= newConfig.headRevision()) {
      return;
    }
    long previousVersion = loadedConfig.map(config -> config.active().version()).orElse(-1L);
    loadedConfig = Optional.of(newConfig);
    refreshLoadedFreshness();
    if (previousVersion != newConfig.active().version()) {
      LOG.info("Applying configuration version {}.", newConfig.active().version());
    }
  }

  private Optional<FleetConfig> fetchConfig(String digest) {
    if (digest.isEmpty()) {
      return Optional.of(FleetConfig.empty());
    }
    Optional<String> text = cachedObject(digest).or(() -> fetchObject.apply(digest));
    // A text with another digest is not the published configuration.
    Optional<String> verified = text.filter(content -> Digests.of(content).equals(digest));
    verified.ifPresent(content -> objectCache.put(digest, content));
    return verified.map(content -> Json.readTrusted(content, FleetConfig.class));
  }

  /**
   * Updates the freshness of the loaded configuration, unless a later head is known: verifying the
   * later head does not extend the lease of the loaded configuration.
   */
  private synchronized void refreshLoadedFreshness() {
    long loadedRevision = loadedConfig.map(LoadedConfig::headRevision).orElse(-1L);
    if (freshness.known().revision() == loadedRevision) {
      loadedFreshness = freshness;
    }
  }

  private synchronized void updateFreshness(UnaryOperator<Freshness> change) {
    freshness = change.apply(freshness);
    refreshLoadedFreshness();
  }
}
