package org.sassafraslink.daemon.connection;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.sassafraslink.api.Json;
import org.sassafraslink.daemon.process.FleetState;
import org.sassafraslink.daemon.process.FleetView;
import org.sassafraslink.daemon.process.Versioned;
import org.sassafraslink.daemon.request.LoadReport;
import org.sassafraslink.daemon.version.ConfigTracker;
import org.sassafraslink.rules.process.MemberSet.Member;
import org.sassafraslink.rules.process.VmOwnership;
import org.sassafraslink.rules.version.Freshness;
import org.sassafraslink.rules.version.Freshness.PeerHead;
import org.sassafraslink.rules.version.KnownHead;
import org.sassafraslink.wire.generated.AnnouncedDrain;
import org.sassafraslink.wire.generated.Announcement;
import org.sassafraslink.wire.generated.AnnouncementAck;
import org.sassafraslink.wire.generated.Answer;
import org.sassafraslink.wire.generated.Envelope;
import org.sassafraslink.wire.generated.ObjectAnswer;
import org.sassafraslink.wire.generated.ObjectRequest;
import org.sassafraslink.wire.generated.Question;
import org.sassafraslink.wire.generated.VmRow;

/**
 * Exchanges messages with the other daemons: questions about the configuration and VMs, which also
 * report the sender's load; announcements of changes; and requests for configuration objects.
 *
 * <p>An answer to a question or an announcement is ignored unless its sender is the member to which
 * that message was sent. After a restart, a process with another id may listen at the same address,
 * and that process has not confirmed anything.
 */
public final class PeerExchange {
  /** Longest wait for a peer's answer to a request for an object, in ms. */
  private static final long OBJECT_FETCH_TIMEOUT_MILLIS = 800;

  /** Age above which a peer's load report is ignored, in ms. */
  private static final long MAX_LOAD_AGE_MILLIS = 3_000;

  /**
   * The state of a peer according to its last answer.
   *
   * @param answeredAtMillis monotonic time at which the answer was received
   * @param headRevision version of the head row that the peer knows
   * @param configVersion version of the configuration in that head row
   * @param memberEpoch epoch of the member set that the peer knows
   */
  public record PeerState(
      long answeredAtMillis, long headRevision, long configVersion, long memberEpoch) {}

  /** A peer's load report, with the monotonic time at which it was received. */
  private record TimedLoad(LoadReport load, long receivedMillis) {}

  private final String self;
  private final PeerTransport transport;
  private final ConfigTracker configTracker;
  private final FleetState fleet;
  private final Supplier<LoadReport> ownLoad;
  private final LongSupplier clock;
  private final Map<String, TimedLoad> loadReportsByPeer = new ConcurrentHashMap<>();
  private final Map<String, PeerState> statesByPeer = new ConcurrentHashMap<>();

  private PeerExchange(
      String self,
      PeerTransport transport,
      ConfigTracker configTracker,
      FleetState fleet,
      Supplier<LoadReport> ownLoad,
      LongSupplier clock) {
    this.self = self;
    this.transport = transport;
    this.configTracker = configTracker;
    this.fleet = fleet;
    this.ownLoad = ownLoad;
    this.clock = clock;
  }

  /**
   * Creates an exchange.
   *
   * @param self the id of this process
   * @param ownLoad returns the load of this process, which is sent to the peers
   * @param clock returns the monotonic time, in ms
   */
  public static PeerExchange create(
      String self,
      PeerTransport transport,
      ConfigTracker configTracker,
      FleetState fleet,
      Supplier<LoadReport> ownLoad,
      LongSupplier clock) {
    return new PeerExchange(self, transport, configTracker, fleet, ownLoad, clock);
  }

  /**
   * Sends a question to each peer without waiting for the answers. Then loads the configuration
   * that the latest known head row names, if it is not loaded yet. Loading blocks until the store
   * or a peer answers.
   */
  public void askPeers() {
    for (Member member : peers()) {
      askPeer(member);
    }
    configTracker.loadLatestConfig();
  }

  /**
   * Returns the last load report of each peer, by member id. A report older than {@value
   * #MAX_LOAD_AGE_MILLIS} ms is left out.
   */
  public ImmutableMap<String, LoadReport> loadReportsByPeer() {
    long oldestMillis = clock.getAsLong() - MAX_LOAD_AGE_MILLIS;
    ImmutableMap.Builder<String, LoadReport> recentLoads = ImmutableMap.builder();
    for (Member member : peers()) {
      TimedLoad timedLoad = loadReportsByPeer.get(member.id());
      if (timedLoad != null && timedLoad.receivedMillis() >= oldestMillis) {
        recentLoads.put(member.id(), timedLoad.load());
      }
    }
    return recentLoads.buildOrThrow();
  }

  /** Returns the state of each peer according to its last answer, by member id. */
  public ImmutableMap<String, PeerState> statesByPeer() {
    return ImmutableMap.copyOf(statesByPeer);
  }

  /** Returns the epoch of the member set that each peer knows, by member id. */
  public ImmutableMap<String, Long> memberEpochsByPeer() {
    ImmutableMap.Builder<String, Long> epochs = ImmutableMap.builder();
    statesByPeer.forEach((peer, state) -> epochs.put(peer, state.memberEpoch()));
    return epochs.buildOrThrow();
  }

  /**
   * Announces a head row to all peers and waits for their acknowledgements.
   *
   * @return the ids of the members that know this head row or a later one, including this process
   */
  public List<String> announceHead(KnownHead head, Duration timeout) {
    Announcement announcement =
        Announcement.newBuilder().setHead(HeadCodec.toMessage(head)).build();
    return sendAnnouncement(announcement, head.revision(), timeout);
  }

  /**
   * Announces VMs that are about to be drained to all peers and waits for their acknowledgements.
   *
   * @return the ids of the members that send no new work to these VMs from now on, including this
   *     process
   */
  public List<String> announceDrains(Iterable<String> vmIds, Duration timeout) {
    fleet.update(view -> view.withAnnouncedDrains(announcedAt(vmIds, clock.getAsLong())));
    return sendAnnouncement(Announcement.newBuilder().addAllDrainingVms(vmIds).build(), 0, timeout);
  }

  /**
   * Sends an announcement to all peers.
   *
   * @param revision the version of the head row that a peer must know for its acknowledgement to
   *     count; 0 if the announcement has no head row
   * @param timeout bound on the wait for all acknowledgements together
   * @return the ids of the members that have acknowledged, including this process
   */
  private List<String> sendAnnouncement(
      Announcement announcement, long revision, Duration timeout) {
    Envelope.Builder message = Envelope.newBuilder().setFrom(self).setAnnouncement(announcement);
    Map<String, CompletableFuture<Envelope>> answers = new LinkedHashMap<>();
    for (Member member : peers()) {
      answers.put(member.id(), transport.sendRequest(member.address(), message.clone()));
    }
    List<String> acknowledgedBy = new ArrayList<>();
    acknowledgedBy.add(self);
    long deadlineMillis = clock.getAsLong() + timeout.toMillis();
    answers.forEach(
        (memberId, answer) -> {
          if (isAcknowledgedInTime(memberId, answer, revision, deadlineMillis)) {
            acknowledgedBy.add(memberId);
          }
        });
    return acknowledgedBy;
  }

  /** Fetches an object from the first peer that has it in its cache. Does not check its digest. */
  public Optional<String> fetchObject(String digest) {
    Envelope.Builder message =
        Envelope.newBuilder()
            .setFrom(self)
            .setObjectRequest(ObjectRequest.newBuilder().setDigest(digest));
    for (Member member : peers()) {
      Optional<Envelope> answer =
          awaitAnswer(
              transport.sendRequest(member.address(), message.clone()),
              OBJECT_FETCH_TIMEOUT_MILLIS);
      Optional<String> content =
          answer
              .map(envelope -> envelope.getObjectAnswer().getContent())
              .filter(text -> !text.isEmpty());
      if (content.isPresent()) {
        return content;
      }
    }
    return Optional.empty();
  }

  /**
   * Applies a peer's message and returns the answer to send; empty if the message needs none. Runs
   * on an event loop and does not block.
   */
  public Optional<Envelope> answerMessage(Envelope message) {
    Envelope.Builder answer =
        Envelope.newBuilder().setFrom(self).setCorrelation(message.getCorrelation());
    switch (message.getBodyCase()) {
      case QUESTION -> answer.setAnswer(applyQuestion(message));
      case ANNOUNCEMENT -> answer.setAnnouncementAck(applyAnnouncement(message.getAnnouncement()));
      case OBJECT_REQUEST -> answer.setObjectAnswer(createObjectAnswer(message.getObjectRequest()));
      default -> {
        return Optional.empty();
      }
    }
    return Optional.of(answer.build());
  }

  /** Records the load report in a question and returns the answer to the question. */
  private Answer applyQuestion(Envelope message) {
    Question question = message.getQuestion();
    loadReportsByPeer.put(
        message.getFrom(),
        new TimedLoad(LoadCodec.fromMessage(question.getLoad()), clock.getAsLong()));
    Freshness freshness = configTracker.freshness();
    OptionalLong age = freshness.verifiedAgeMillis(clock.getAsLong());
    FleetView view = fleet.view();
    return Answer.newBuilder()
        .addAllVmRows(vmRowsAfter(view, question.getVmsVersion()))
        .addAllDrains(announcedDrains(view, clock.getAsLong()))
        .addAllLeavingVms(
            view.isListingFresh(clock.getAsLong()) ? view.leavingVms() : view.leavingAtPeers())
        .setHead(HeadCodec.toMessage(freshness.known()))
        .setMemberEpoch(freshness.members().epoch())
        .setEvidenceAgeMillis(age.orElse(-1))
        .setReady(age.isPresent())
        .build();
  }

  private static List<VmRow> vmRowsAfter(FleetView view, long version) {
    return view.ownershipByVm().values().stream()
        .filter(row -> row.version() > version)
        .map(
            row ->
                VmRow.newBuilder()
                    .setVersion(row.version())
                    .setValue(Json.write(row.value()))
                    .build())
        .toList();
  }

  private static List<AnnouncedDrain> announcedDrains(FleetView view, long nowMillis) {
    return view.announcedDrains().entrySet().stream()
        .map(
            drain ->
                AnnouncedDrain.newBuilder()
                    .setVm(drain.getKey())
                    .setAgeMillis(nowMillis - drain.getValue())
                    .build())
        .toList();
  }

  /** Applies an announced head row and announced drains, and returns the acknowledgement. */
  private AnnouncementAck applyAnnouncement(Announcement announcement) {
    if (announcement.hasHead()) {
      configTracker.applyAnnouncement(HeadCodec.fromMessage(announcement.getHead()));
    }
    fleet.update(
        view ->
            view.withAnnouncedDrains(
                announcedAt(announcement.getDrainingVmsList(), clock.getAsLong())));
    return AnnouncementAck.newBuilder()
        .setRevision(configTracker.freshness().known().revision())
        .build();
  }

  private ObjectAnswer createObjectAnswer(ObjectRequest request) {
    return ObjectAnswer.newBuilder()
        .setDigest(request.getDigest())
        .setContent(configTracker.cachedObject(request.getDigest()).orElse(""))
        .build();
  }

  /** Sends a question to a peer, whose answer is applied when it arrives. */
  private void askPeer(Member member) {
    Freshness freshness = configTracker.freshness();
    Question question =
        Question.newBuilder()
            .setHead(HeadCodec.toMessage(freshness.known()))
            .setMemberEpoch(freshness.members().epoch())
            .setVmsVersion(fleet.view().maxOwnershipRowVersion())
            .setLoad(LoadCodec.toMessage(ownLoad.get()))
            .build();
    long askedMillis = clock.getAsLong();
    transport
        .sendRequest(member.address(), Envelope.newBuilder().setFrom(self).setQuestion(question))
        .thenAccept(envelope -> applyAnswer(member, askedMillis, envelope));
  }

  /** Applies a peer's answer to a question that was sent at {@code askedMillis}. */
  private void applyAnswer(Member member, long askedMillis, Envelope envelope) {
    if (!envelope.getFrom().equals(member.id()) || !envelope.hasAnswer()) {
      return;
    }
    Answer answer = envelope.getAnswer();
    KnownHead head = HeadCodec.fromMessage(answer.getHead());
    statesByPeer.put(
        member.id(),
        new PeerState(
            clock.getAsLong(), head.revision(), head.head().version(), answer.getMemberEpoch()));
    if (!answer.getReady()) {
      return; // The peer has not verified its own head row yet.
    }
    // The peer's VM rows must be applied before its confirmation of the head, because the
    // confirmation allows this process to continue sending work to VMs.
    fleet.update(view -> mergeVmAnswer(view, askedMillis, answer));
    configTracker.applyPeerReply(
        member.id(),
        askedMillis,
        new PeerHead(
            answer.getMemberEpoch(), head, OptionalLong.of(answer.getEvidenceAgeMillis())));
  }

  /** Returns a map from each VM to {@code millis}, the time of its announcement. */
  private static ImmutableMap<String, Long> announcedAt(Iterable<String> vmIds, long millis) {
    return Maps.toMap(ImmutableSet.copyOf(vmIds), vm -> millis);
  }

  /** Returns {@code view} with the VM rows, announced drains and leaving VMs of an answer. */
  private static FleetView mergeVmAnswer(FleetView view, long askedMillis, Answer answer) {
    Map<String, Versioned<VmOwnership>> rows = new LinkedHashMap<>();
    for (VmRow row : answer.getVmRowsList()) {
      VmOwnership vm = Json.readTrusted(row.getValue(), VmOwnership.class);
      rows.put(vm.vm(), new Versioned<>(vm, row.getVersion()));
    }
    Map<String, Long> drains = new LinkedHashMap<>();
    // The time is computed from the age, so that forwarding an announcement does not renew it.
    answer
        .getDrainsList()
        .forEach(drain -> drains.put(drain.getVm(), askedMillis - drain.getAgeMillis()));
    return view.withAnnouncedDrains(drains)
        .withPeerRows(rows)
        .withLeavingAtPeers(answer.getLeavingVmsList());
  }

  /**
   * Returns whether the peer has acknowledged the announcement and knows the head row of {@code
   * revision} or a later one. Waits until {@code deadlineMillis} for its answer.
   */
  private boolean isAcknowledgedInTime(
      String memberId, CompletableFuture<Envelope> answer, long revision, long deadlineMillis) {
    long remainingMillis = Math.max(1, deadlineMillis - clock.getAsLong());
    return awaitAnswer(answer, remainingMillis)
        .filter(envelope -> envelope.getFrom().equals(memberId))
        .filter(envelope -> envelope.getAnnouncementAck().getRevision() >= revision)
        .isPresent();
  }

  /** Returns the answer, or empty if it does not arrive in time or cannot be received. */
  private static Optional<Envelope> awaitAnswer(
      CompletableFuture<Envelope> answer, long timeoutMillis) {
    try {
      return Optional.of(answer.get(timeoutMillis, TimeUnit.MILLISECONDS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    } catch (ExecutionException | TimeoutException e) {
      return Optional.empty();
    }
  }

  /** Returns the members that are alive according to the member set, without this process. */
  private List<Member> peers() {
    return fleet.view().members().aliveMembers().stream()
        .filter(member -> !member.id().equals(self))
        .toList();
  }
}
