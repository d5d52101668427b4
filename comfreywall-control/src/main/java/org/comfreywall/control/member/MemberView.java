package org.comfreywall.control.member;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.spread.EntryChange;

/**
 * A node's view of the membership, updated with the changes of the membership stream.
 */
public final class MemberView {

	private static final int MAX_LEAVING_INCARNATIONS = 8_192;

	private final Map<InstanceId, MemberRecord> records = new HashMap<>();

	private final Map<FailureDomainId, Long> failedDomains = new HashMap<>();

	/**
	 * The latest incarnation of each member that has been leaving. It is retained after
	 * the member's record was removed, because a new leader that has missed the change or
	 * received a delayed report may publish the same incarnation as active again.
	 */
	private final Map<InstanceId, Incarnation> leavingIncarnations = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<InstanceId, Incarnation> eldest) {
			return size() > MAX_LEAVING_INCARNATIONS;
		}

	};

	/**
	 * Applies changes of the membership stream.
	 * @param changes the changes
	 * @param replaceAll whether the changes are the complete state, so that all other
	 * members and failures are removed
	 */
	public void apply(List<EntryChange> changes, boolean replaceAll) {
		Preconditions.notNull(changes, "changes");
		if (replaceAll) {
			this.records.clear();
			this.failedDomains.clear();
		}
		for (EntryChange change : changes) {
			if (change.value().isPresent()) {
				applyEntry(change.key(), change.value().get());
			}
			else {
				MemberEntries.parseMemberId(change.key()).ifPresent(this.records::remove);
			}
		}
	}

	/**
	 * Returns whether new work may be routed to a member.
	 * @param id the member
	 * @return {@code true} if the member is active, its incarnation has never been
	 * leaving and its failure domain has not failed since the record was published
	 */
	public boolean isRoutable(InstanceId id) {
		return find(id).filter(this::isActive).isPresent();
	}

	/**
	 * Finds a member.
	 * @param id the member
	 * @return its record, or empty if there is no such member
	 */
	public Optional<MemberRecord> find(InstanceId id) {
		return Optional.ofNullable(this.records.get(id));
	}

	/**
	 * Returns the records of all members, including failed ones.
	 * @return an unmodifiable view of the records
	 */
	public Collection<MemberRecord> records() {
		return Collections.unmodifiableCollection(this.records.values());
	}

	/**
	 * Returns whether the member described by a record accepts new work.
	 * @param record a record of this view
	 * @return {@code true} if the member is active, its incarnation has never been
	 * leaving and its failure domain has not failed since the record was published
	 */
	public boolean isActive(MemberRecord record) {
		return record.state() == MemberState.ACTIVE && !wasLeaving(record) && !isDomainFailedSince(record);
	}

	boolean isDomainFailedSince(MemberRecord record) {
		return record.sequence() < this.failedDomains.getOrDefault(record.node().domain(), 0L);
	}

	void applyEntry(String key, Bytes value) {
		MemberEntries.parseMember(key, value).ifPresent(this::putRecord);
		MemberEntries.parseDomainFailure(key, value)
			.ifPresent((failure) -> this.failedDomains.put(failure.domain(), failure.sequence()));
	}

	private void putRecord(MemberRecord record) {
		this.records.put(record.node().id(), record);
		if (record.state() == MemberState.LEAVING) {
			this.leavingIncarnations.merge(record.node().id(), record.node().incarnation(),
					(previous, current) -> previous.isBefore(current) ? current : previous);
		}
	}

	private boolean wasLeaving(MemberRecord record) {
		Incarnation lastLeaving = this.leavingIncarnations.get(record.node().id());
		return lastLeaving != null && !lastLeaving.isBefore(record.node().incarnation());
	}

	long highestSequence() {
		long members = this.records.values().stream().mapToLong(MemberRecord::sequence).max().orElse(0);
		long domains = this.failedDomains.values().stream().mapToLong(Long::longValue).max().orElse(0);
		return Math.max(members, domains);
	}

}
