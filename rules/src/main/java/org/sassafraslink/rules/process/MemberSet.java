package org.sassafraslink.rules.process;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The registered entry daemons, kept in one row of the table service.
 *
 * <p>Only full members count in a majority. Members become full one at a time, and only after every
 * full member has seen the row in which they join. A majority of a view that is out of date
 * therefore still meets every majority of the current set.
 */
public record MemberSet(long epoch, ImmutableMap<String, Member> members) {
  /** The key of the member row. */
  public static final String KEY = "members";

  /** How far a member's registration has come. */
  public enum Standing {
    /** Registered, but in no majority. */
    GUEST,
    /** The one member that is about to become full. */
    JOINING,
    /** Counts in majorities. */
    FULL,
    /** Certainly dead; its allotments wait for what it sent to end. */
    DEAD
  }

  /**
   * A registered process.
   *
   * @param id unique for each start of a process
   * @param address IP number and port on which peers reach it; held by one process at a time
   */
  public record Member(
      String id, String vm, long vmIncarnation, String address, String zone, Standing standing) {
    Member with(Standing next) {
      return new Member(id, vm, vmIncarnation, address, zone, next);
    }
  }

  /** The set of a fleet in which no daemon has registered yet. */
  public static MemberSet empty() {
    return new MemberSet(0, ImmutableMap.of());
  }

  /**
   * Registers {@code joiner} as a guest.
   *
   * <p>A member at the same address is certainly dead, because the joiner now holds that address.
   */
  public MemberSet register(Member joiner) {
    Map<String, Member> next = new LinkedHashMap<>();
    members.forEach(
        (id, member) ->
            next.put(
                id,
                member.address().equals(joiner.address()) ? member.with(Standing.DEAD) : member));
    next.put(joiner.id(), joiner.with(Standing.GUEST));
    return new MemberSet(epoch + 1, ImmutableMap.copyOf(next));
  }

  /** Raises a member from guest to joining, unless another one is joining. */
  public Optional<MemberSet> startJoin(String id) {
    Member member = members.get(id);
    if (member == null || member.standing() != Standing.GUEST || joining().isPresent()) {
      return Optional.empty();
    }
    // The first member has nobody to wait for.
    Standing next = full().isEmpty() ? Standing.FULL : Standing.JOINING;
    return Optional.of(with(member.with(next)));
  }

  /**
   * Raises the joining member to full once every full member is known to have seen {@code
   * joinEpoch} or a later one.
   */
  public Optional<MemberSet> finishJoin(String id, long joinEpoch, Map<String, Long> seenEpochs) {
    Member member = members.get(id);
    if (member == null || member.standing() != Standing.JOINING) {
      return Optional.empty();
    }
    boolean allSeen =
        full().stream().allMatch(peer -> seenEpochs.getOrDefault(peer, 0L) >= joinEpoch);
    return allSeen ? Optional.of(with(member.with(Standing.FULL))) : Optional.empty();
  }

  /** Marks a member as certainly dead. */
  public MemberSet markDead(String id) {
    Member member = members.get(id);
    return member == null || member.standing() == Standing.DEAD
        ? this
        : with(member.with(Standing.DEAD));
  }

  /** Removes a member whose allotments are all returned. */
  public MemberSet remove(String id) {
    Map<String, Member> next = new LinkedHashMap<>(members);
    next.remove(id);
    return new MemberSet(epoch + 1, ImmutableMap.copyOf(next));
  }

  /** Whether {@code voters} hold a majority both with and without the joining member. */
  public boolean isMajority(Collection<String> voters) {
    ImmutableSet<String> full = full();
    ImmutableSet<String> withJoining =
        ImmutableSet.<String>builder().addAll(full).addAll(joining().stream().toList()).build();
    return !full.isEmpty() && isMajorityOf(full, voters) && isMajorityOf(withJoining, voters);
  }

  /** The ids of the full members. */
  public ImmutableSet<String> full() {
    return idsOf(Standing.FULL);
  }

  /** The ids of all members that may be alive. */
  @JsonIgnore
  public ImmutableList<Member> alive() {
    return members.values().stream()
        .filter(member -> member.standing() != Standing.DEAD)
        .collect(ImmutableList.toImmutableList());
  }

  /** The ids of the members that are certainly dead. */
  public ImmutableSet<String> dead() {
    return idsOf(Standing.DEAD);
  }

  /** The member that is about to become full. */
  public Optional<String> joining() {
    return idsOf(Standing.JOINING).stream().findFirst();
  }

  private ImmutableSet<String> idsOf(Standing standing) {
    return members.values().stream()
        .filter(member -> member.standing() == standing)
        .map(Member::id)
        .collect(ImmutableSet.toImmutableSet());
  }

  private static boolean isMajorityOf(ImmutableSet<String> set, Collection<String> voters) {
    long present = set.stream().filter(voters::contains).count();
    return 2 * present > set.size();
  }

  private MemberSet with(Member member) {
    Map<String, Member> next = new LinkedHashMap<>(members);
    next.put(member.id(), member);
    return new MemberSet(epoch + 1, ImmutableMap.copyOf(next));
  }
}
