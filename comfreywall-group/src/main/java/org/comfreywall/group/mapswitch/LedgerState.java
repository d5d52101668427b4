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
 * @param term the current coordinator's term
 * @param generation the number of membership changes
 * @param members the members by rank; a rank without a member is absent
 * @param latestIncarnations the latest incarnation of each server that was ever assigned
 * to a rank, least recently assigned first; at most {@value #MAX_INCARNATIONS}
 * @param timeline the committed map boundaries
 * @param lastDecided the latest decided attempt
 */
public record LedgerState(long index, Term term, long generation, SortedMap<Integer, Member> members,
		Map<BackendServerId, Incarnation> latestIncarnations, MapTimeline timeline, SwitchId lastDecided) {

	/** Maximum number of servers whose latest incarnation is kept. */
	public static final int MAX_INCARNATIONS = 256;

	/** The state before the first write. */
	public static final LedgerState EMPTY = new LedgerState(0, Term.ZERO, 0, new TreeMap<>(), Map.of(),
			MapTimeline.EMPTY, SwitchId.ZERO);

	public LedgerState {
		Preconditions.notNull(term, "term");
		Preconditions.notNull(timeline, "timeline");
		Preconditions.notNull(lastDecided, "lastDecided");
		members = Collections.unmodifiableSortedMap(new TreeMap<>(members));
		latestIncarnations = Collections.unmodifiableMap(new LinkedHashMap<>(latestIncarnations));
		Preconditions.check(latestIncarnations.size() <= MAX_INCARNATIONS,
				"latestIncarnations must not exceed %d entries: %d", MAX_INCARNATIONS, latestIncarnations.size());
	}

	/**
	 * Finds the decision of an attempt. An attempt up to the latest decided one without a
	 * boundary counts as aborted: the ledger returns the abort for any later commit of
	 * it.
	 * @param id the attempt
	 * @return its decision, or empty if it is undecided
	 */
	public Optional<SwitchDecision> decisionOf(SwitchId id) {
		Optional<MapBoundary> boundary = this.timeline.findByAttempt(id);
		if (boundary.isPresent()) {
			return Optional.of(new CommitDecision(boundary.get()));
		}
		return this.lastDecided.isBefore(id) ? Optional.empty() : Optional.of(new AbortDecision(id));
	}

	/**
	 * Returns whether a rank is assigned to a member.
	 * @param rank the rank
	 * @param member the member
	 * @return {@code true} if it is the rank's current member
	 */
	public boolean isAssigned(int rank, Member member) {
		return member.equals(this.members.get(rank));
	}

	LedgerState withTerm(Term newTerm) {
		return new LedgerState(this.index + 1, newTerm, this.generation, this.members, this.latestIncarnations,
				this.timeline, this.lastDecided);
	}

	LedgerState withFirstMap(MapBoundary boundary) {
		return new LedgerState(this.index + 1, this.term, this.generation, this.members, this.latestIncarnations,
				this.timeline.with(boundary), this.lastDecided);
	}

	LedgerState withBoundary(MapBoundary boundary) {
		return new LedgerState(this.index + 1, this.term, this.generation, this.members, this.latestIncarnations,
				this.timeline.with(boundary), boundary.attemptId());
	}

	LedgerState withAbort(SwitchId id) {
		return new LedgerState(this.index + 1, this.term, this.generation, this.members, this.latestIncarnations,
				this.timeline, id);
	}

	LedgerState withMember(int rank, Member member) {
		SortedMap<Integer, Member> changed = new TreeMap<>(this.members);
		changed.put(rank, member);
		Map<BackendServerId, Incarnation> latest = new LinkedHashMap<>(this.latestIncarnations);
		latest.remove(member.server());
		if (latest.size() == MAX_INCARNATIONS) {
			latest.remove(latest.keySet().iterator().next());
		}
		latest.put(member.server(), member.incarnation());
		return new LedgerState(this.index + 1, this.term, this.generation + 1, changed, latest, this.timeline,
				this.lastDecided);
	}

}
