package org.sassafraslink.daemon.connection;

import com.google.common.collect.ImmutableMap;
import io.netty.channel.EventLoopGroup;
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
import org.sassafraslink.daemon.process.FleetState;
import org.sassafraslink.daemon.request.LoadReport;
import org.sassafraslink.daemon.version.ConfigKeeper;
import org.sassafraslink.rules.process.MemberSet.Member;
import org.sassafraslink.rules.version.Freshness;
import org.sassafraslink.rules.version.Freshness.PeerHead;
import org.sassafraslink.rules.version.HeadKnowledge;
import org.sassafraslink.wire.PeerClient;
import org.sassafraslink.wire.generated.Announcement;
import org.sassafraslink.wire.generated.AnnouncementAck;
import org.sassafraslink.wire.generated.Answer;
import org.sassafraslink.wire.generated.Envelope;
import org.sassafraslink.wire.generated.ObjectAnswer;
import org.sassafraslink.wire.generated.ObjectRequest;
import org.sassafraslink.wire.generated.Question;

/**
 * Asks the other daemons what they know, and answers them.
 *
 * <p>An answer counts only if it comes from the process that was asked: a new process at the same
 * address has another id and has promised nothing.
 */
public final class PeerExchange {
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);

  /** Age after which a peer's load is no longer believed, in ms. */
  private static final long LOAD_MAX_AGE_MILLIS = 3_000;

  /** What a peer last said of itself. */
  public record PeerState(long answeredMillis, long revision, long version, long memberEpoch) {}

  private record TimedLoad(LoadReport load, long atMillis) {}

  private final String self;
  private final EventLoopGroup loops;
  private final ConfigKeeper keeper;
  private final FleetState fleet;
  private final Supplier<LoadReport> ownLoad;
  private final LongSupplier clock;
  private final Map<String, PeerClient> clients = new ConcurrentHashMap<>();
  private final Map<String, TimedLoad> loads = new ConcurrentHashMap<>();
  private final Map<String, PeerState> states = new ConcurrentHashMap<>();

  private PeerExchange(
      String self,
      EventLoopGroup loops,
      ConfigKeeper keeper,
      FleetState fleet,
      Supplier<LoadReport> ownLoad,
      LongSupplier clock) {
    this.self = self;
    this.loops = loops;
    this.keeper = keeper;
    this.fleet = fleet;
    this.ownLoad = ownLoad;
    this.clock = clock;
  }

  /** Creates the exchange of the process {@code self}. */
  public static PeerExchange create(
      String self,
      EventLoopGroup loops,
      ConfigKeeper keeper,
      FleetState fleet,
      Supplier<LoadReport> ownLoad,
      LongSupplier clock) {
    return new PeerExchange(self, loops, keeper, fleet, ownLoad, clock);
  }

  /** Asks each living member once. */
  public void round() {
    for (Member member : peers()) {
      ask(member);
    }
    keeper.load();
  }

  /** The loads that peers told lately, by member id. */
  public ImmutableMap<String, LoadReport> loads() {
    long oldest = clock.getAsLong() - LOAD_MAX_AGE_MILLIS;
    ImmutableMap.Builder<String, LoadReport> recent = ImmutableMap.builder();
    for (Member member : peers()) {
      TimedLoad load = loads.get(member.id());
      if (load != null && load.atMillis() >= oldest) {
        recent.put(member.id(), load.load());
      }
    }
    return recent.buildOrThrow();
  }

  /** The last answer of each member. */
  public ImmutableMap<String, PeerState> states() {
    return ImmutableMap.copyOf(states);
  }

  /** The member epoch that each peer has said it knows. */
  public ImmutableMap<String, Long> seenEpochs() {
    ImmutableMap.Builder<String, Long> epochs = ImmutableMap.builder();
    states.forEach((peer, state) -> epochs.put(peer, state.memberEpoch()));
    return epochs.buildOrThrow();
  }

  /**
   * Tells all members of a head row and returns the ids of those that now know it, this process
   * included.
   */
  public List<String> announce(HeadKnowledge head, Duration timeout) {
    Envelope.Builder message =
        Envelope.newBuilder()
            .setFrom(self)
            .setAnnouncement(Announcement.newBuilder().setHead(HeadCodec.toMessage(head)));
    Map<String, CompletableFuture<Envelope>> answers = new LinkedHashMap<>();
    for (Member member : peers()) {
      answers.put(member.id(), client(member).ask(message.clone()));
    }
    List<String> knowing = new ArrayList<>();
    knowing.add(self);
    long endMillis = clock.getAsLong() + timeout.toMillis();
    answers.forEach(
        (member, answer) -> {
          if (isAcknowledged(member, answer, head.revision(), endMillis)) {
            knowing.add(member);
          }
        });
    return knowing;
  }

  /** Fetches an object from the first peer that has it. */
  public Optional<String> fetchObject(String digest) {
    Envelope.Builder message =
        Envelope.newBuilder()
            .setFrom(self)
            .setObjectRequest(ObjectRequest.newBuilder().setDigest(digest));
    for (Member member : peers()) {
      Optional<Envelope> answer =
          await(client(member).ask(message.clone()), CALL_TIMEOUT.toMillis());
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

  /** Answers a peer's message. Runs on an event loop and never blocks. */
  public Optional<Envelope> onMessage(Envelope message) {
    Envelope.Builder answer =
        Envelope.newBuilder().setFrom(self).setCorrelation(message.getCorrelation());
    switch (message.getBodyCase()) {
      case QUESTION -> answer.setAnswer(answer(message));
      case ANNOUNCEMENT -> answer.setAnnouncementAck(acknowledge(message.getAnnouncement()));
      case OBJECT_REQUEST -> answer.setObjectAnswer(object(message.getObjectRequest()));
      default -> {
        return Optional.empty();
      }
    }
    return Optional.of(answer.build());
  }

  private Answer answer(Envelope message) {
    Question question = message.getQuestion();
    loads.put(
        message.getFrom(),
        new TimedLoad(LoadCodec.fromMessage(question.getLoad()), clock.getAsLong()));
    Freshness state = keeper.freshness();
    OptionalLong age = state.evidenceAge(clock.getAsLong());
    return Answer.newBuilder()
        .setHead(HeadCodec.toMessage(state.known()))
        .setMemberEpoch(state.members().epoch())
        .setEvidenceAgeMillis(age.orElse(-1))
        .setReady(age.isPresent())
        .build();
  }

  private AnnouncementAck acknowledge(Announcement announcement) {
    HeadKnowledge announced = HeadCodec.fromMessage(announcement.getHead());
    keeper.observeAnnouncement(announced);
    return AnnouncementAck.newBuilder().setRevision(keeper.freshness().known().revision()).build();
  }

  private ObjectAnswer object(ObjectRequest request) {
    return ObjectAnswer.newBuilder()
        .setDigest(request.getDigest())
        .setContent(keeper.cachedObject(request.getDigest()).orElse(""))
        .build();
  }

  private void ask(Member member) {
    Freshness state = keeper.freshness();
    Question question =
        Question.newBuilder()
            .setHead(HeadCodec.toMessage(state.known()))
            .setMemberEpoch(state.members().epoch())
            .setLoad(LoadCodec.toMessage(ownLoad.get()))
            .build();
    long askedMillis = clock.getAsLong();
    client(member)
        .ask(Envelope.newBuilder().setFrom(self).setQuestion(question))
        .thenAccept(envelope -> onAnswer(member, askedMillis, envelope));
  }

  private void onAnswer(Member member, long askedMillis, Envelope envelope) {
    if (!envelope.getFrom().equals(member.id()) || !envelope.hasAnswer()) {
      return;
    }
    Answer answer = envelope.getAnswer();
    HeadKnowledge head = HeadCodec.fromMessage(answer.getHead());
    states.put(
        member.id(),
        new PeerState(
            clock.getAsLong(), head.revision(), head.head().version(), answer.getMemberEpoch()));
    if (!answer.getReady()) {
      return;
    }
    keeper.observeReply(
        member.id(),
        askedMillis,
        new PeerHead(
            answer.getMemberEpoch(), head, OptionalLong.of(answer.getEvidenceAgeMillis())));
  }

  private boolean isAcknowledged(
      String member, CompletableFuture<Envelope> answer, long revision, long endMillis) {
    long leftMillis = Math.max(1, endMillis - clock.getAsLong());
    return await(answer, leftMillis)
        .filter(envelope -> envelope.getFrom().equals(member))
        .filter(envelope -> envelope.getAnnouncementAck().getRevision() >= revision)
        .isPresent();
  }

  private static Optional<Envelope> await(CompletableFuture<Envelope> answer, long millis) {
    try {
      return Optional.of(answer.get(millis, TimeUnit.MILLISECONDS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    } catch (ExecutionException | TimeoutException e) {
      return Optional.empty();
    }
  }

  private List<Member> peers() {
    return fleet.view().members().alive().stream()
        .filter(member -> !member.id().equals(self))
        .toList();
  }

  private PeerClient client(Member member) {
    return clients.computeIfAbsent(
        member.address(), address -> PeerClient.create(loops, address, CALL_TIMEOUT));
  }
}
