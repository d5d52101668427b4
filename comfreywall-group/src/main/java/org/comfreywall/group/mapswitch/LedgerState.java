package org.comfreywall.group.mapswitch;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * The durable state of one group's map and membership.
 *
 * @param index the number of writes that changed the state
 * @param term the present coordinator's term
 * @param generation the number of changes of the membership
 * @param members the member of each rank that has one
 * @param retired the latest incarnation of each server that ever was a member, least
 * recently assigned first; at most {@value #RETIRED_LIMIT}
 * @param timeline the decided boundaries between maps
 * @param lastDecided the latest attempt that was decided
 */
public record LedgerState(long index, Term term, long generation, SortedMap<Integer, Member> members,
		Map<BackendServerId, Incarnation> retired, MapTimeline timeline, SwitchId lastDecided) {

	/** The greatest number of former members remembered. */
	public static final int RETIRED_LIMIT = 256;

	/** The state before the first write. */
	public static final LedgerState EMPTY = new LedgerState(0, Term.ZERO, 0, new TreeMap<>(), Map.of(),
			MapTimeline.EMPTY, SwitchId.ZERO);

	public LedgerState {
		Preconditions.notNull(term, "term");
		Preconditions.notNull(timeline, "timeline");
		Preconditions.notNull(lastDecided, "lastDecided");
		members = Collections.unmodifiableSortedMap(new TreeMap<>(members));
		retired = Collections.unmodifiableMap(new LinkedHashMap<>(retired));
		Preconditions.check(retired.size() <= RETIRED_LIMIT, "retired must number at most %d: %d", RETIRED_LIMIT,
				retired.size());
	}

	/**
	 * Finds how an attempt was decided. An attempt that is not later than the last one
	 * decided and set no boundary can never be committed, so it is aborted.
	 * @param id the attempt
	 * @return its decision, or empty if it is undecided
	 */
	public Optional<SwitchDecision> decisionOf(SwitchId id) {
		Optional<MapBoundary> boundary = this.timeline.decidedBy(id);
		if (boundary.isPresent()) {
			return Optional.of(new CommitDecision(boundary.get()));
		}
		return this.lastDecided.isBefore(id) ? Optional.empty() : Optional.of(new AbortDecision(id));
	}

	/**
	 * Tells whether a member holds a rank.
	 * @param rank the rank
	 * @param member the member
	 * @return {@code true} if it is the rank's present member
	 */
	public boolean holds(int rank, Member member) {
		return member.equals(this.members.get(rank));
	}

	LedgerState withTerm(Term newTerm) {
		return new LedgerState(this.index + 1, newTerm, this.generation, this.members, this.retired, this.timeline,
				this.lastDecided);
	}

	LedgerState withFirstMap(MapBoundary boundary) {
		return new LedgerState(this.index + 1, this.term, this.generation, this.members, this.retired,
				this.timeline.with(boundary), this.lastDecided);
	}

	LedgerState withBoundary(MapBoundary boundary) {
		return new LedgerState(this.index + 1, this.term, this.generation, this.members, this.retired,
				this.timeline.with(boundary), boundary.decidedBy());
	}

	LedgerState withAbort(SwitchId id) {
		return new LedgerState(this.index + 1, this.term, this.generation, this.members, this.retired, this.timeline,
				id);
	}

	LedgerState withMember(int rank, Member member) {
		SortedMap<Integer, Member> changed = new TreeMap<>(this.members);
		changed.put(rank, member);
		Map<BackendServerId, Incarnation> seen = new LinkedHashMap<>(this.retired);
		seen.remove(member.server());
		if (seen.size() == RETIRED_LIMIT) {
			seen.remove(seen.keySet().iterator().next());
		}
		seen.put(member.server(), member.incarnation());
		return new LedgerState(this.index + 1, this.term, this.generation + 1, changed, seen, this.timeline,
				this.lastDecided);
	}

}
