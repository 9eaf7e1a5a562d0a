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
 * The registered entry daemons, stored in one row of the table service.
 *
 * <p>A majority is counted among the full members. Members become full one at a time, and only
 * after every full member has read the row that marks the new one as joining. While a member joins,
 * a majority must also hold with it included. Therefore every majority of an outdated member set
 * still has a member in common with every majority of the current one.
 *
 * @param epoch incremented with every change of the set
 * @param members the members by id
 */
public record MemberSet(long epoch, ImmutableMap<String, Member> members) {
  /** Key of the row that holds the member set. */
  public static final String KEY = "members";

  /** The registration status of a member. */
  public enum MemberState {
    /** Registered, but not counted in majorities. */
    GUEST,
    /**
     * About to become full; at most one member at a time. A majority must hold both with and
     * without it.
     */
    JOINING,
    /** Counted in majorities. */
    FULL,
    /**
     * Known to be dead. Its quotas may be allocated to other processes only after the requests that
     * it had sent to backend servers have ended.
     */
    DEAD
  }

  /**
   * A registered entry daemon.
   *
   * @param id unique for each start of the process
   * @param vm the id of the VM on which the process runs
   * @param vmIncarnation the incarnation of the VM when the process started
   * @param address IP address and port on which peers reach the process; used by one process at a
   *     time
   * @param standing the registration status of the daemon
   */
  public record Member(
      String id, String vm, long vmIncarnation, String address, String zone, MemberState standing) {
    Member withState(MemberState newState) {
      return new Member(id, vm, vmIncarnation, address, zone, newState);
    }
  }

  /** Returns the set before any daemon has registered. */
  public static MemberSet empty() {
    return new MemberSet(0, ImmutableMap.of());
  }

  /**
   * Returns this set with {@code newMember} registered as a guest.
   *
   * <p>A previous member at the same address is marked as dead, because the new process now uses
   * that address.
   */
  public MemberSet register(Member newMember) {
    Map<String, Member> next = new LinkedHashMap<>();
    members.forEach(
        (id, member) ->
            next.put(
                id,
                member.address().equals(newMember.address())
                    ? member.withState(MemberState.DEAD)
                    : member));
    next.put(newMember.id(), newMember.withState(MemberState.GUEST));
    return new MemberSet(epoch + 1, ImmutableMap.copyOf(next));
  }

  /**
   * Returns this set with a guest promoted to joining, or empty if the member is not a guest or
   * another member is joining. The first member becomes full immediately.
   */
  public Optional<MemberSet> startJoin(String id) {
    Member member = members.get(id);
    if (member == null || member.standing() != MemberState.GUEST || joiningMemberId().isPresent()) {
      return Optional.empty();
    }
    // Without full members, no member has to read the row before this one becomes full.
    MemberState newState = fullMemberIds().isEmpty() ? MemberState.FULL : MemberState.JOINING;
    return Optional.of(withMember(member.withState(newState)));
  }

  /**
   * Returns this set with the joining member promoted to full, or empty if the member is not
   * joining or a full member is not yet known to have read {@code joinEpoch} or a later epoch.
   *
   * @param joinEpoch the epoch in which the member started to join
   * @param seenEpochs the latest epoch that each member is known to have read, by member id
   */
  public Optional<MemberSet> finishJoin(String id, long joinEpoch, Map<String, Long> seenEpochs) {
    Member member = members.get(id);
    if (member == null || member.standing() != MemberState.JOINING) {
      return Optional.empty();
    }
    boolean allHaveSeenJoin =
        fullMemberIds().stream().allMatch(peer -> seenEpochs.getOrDefault(peer, 0L) >= joinEpoch);
    return allHaveSeenJoin
        ? Optional.of(withMember(member.withState(MemberState.FULL)))
        : Optional.empty();
  }

  /**
   * Returns this set with a member marked as dead, or unchanged if the member is unknown or already
   * dead.
   */
  public MemberSet markDead(String id) {
    Member member = members.get(id);
    return member == null || member.standing() == MemberState.DEAD
        ? this
        : withMember(member.withState(MemberState.DEAD));
  }

  /**
   * Returns this set without the member. The transaction that writes the set must also reclaim the
   * quotas of the member.
   */
  public MemberSet remove(String id) {
    Map<String, Member> next = new LinkedHashMap<>(members);
    next.remove(id);
    return new MemberSet(epoch + 1, ImmutableMap.copyOf(next));
  }

  /**
   * Returns whether {@code voters} contains a majority of the full members, and also of the full
   * members together with the joining one. Returns false if there are no full members.
   */
  public boolean isMajority(Collection<String> voters) {
    ImmutableSet<String> fullIds = fullMemberIds();
    ImmutableSet<String> fullAndJoiningIds =
        ImmutableSet.<String>builder()
            .addAll(fullIds)
            .addAll(joiningMemberId().stream().toList())
            .build();
    return !fullIds.isEmpty()
        && isMajorityOf(fullIds, voters)
        && isMajorityOf(fullAndJoiningIds, voters);
  }

  /** Returns the ids of the full members. */
  public ImmutableSet<String> fullMemberIds() {
    return idsOf(MemberState.FULL);
  }

  /** Returns the members that are not known to be dead. */
  @JsonIgnore
  public ImmutableList<Member> aliveMembers() {
    return members.values().stream()
        .filter(member -> member.standing() != MemberState.DEAD)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the ids of the members that are known to be dead. */
  public ImmutableSet<String> deadMemberIds() {
    return idsOf(MemberState.DEAD);
  }

  /** Returns the id of the joining member, or empty if no member is joining. */
  public Optional<String> joiningMemberId() {
    return idsOf(MemberState.JOINING).stream().findFirst();
  }

  private ImmutableSet<String> idsOf(MemberState state) {
    return members.values().stream()
        .filter(member -> member.standing() == state)
        .map(Member::id)
        .collect(ImmutableSet.toImmutableSet());
  }

  private static boolean isMajorityOf(ImmutableSet<String> memberIds, Collection<String> voters) {
    long votes = memberIds.stream().filter(voters::contains).count();
    return 2 * votes > memberIds.size();
  }

  private MemberSet withMember(Member member) {
    Map<String, Member> next = new LinkedHashMap<>(members);
    next.put(member.id(), member);
    return new MemberSet(epoch + 1, ImmutableMap.copyOf(next));
  }
}
