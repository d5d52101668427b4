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
 * The members as one node knows them; fed with the changes of the members' stream.
 */
public final class MemberView {

	private static final int MAX_LEFT = 8_192;

	private final Map<InstanceId, MemberRecord> records = new HashMap<>();

	private final Map<FailureDomainId, Long> failedDomains = new HashMap<>();

	/**
	 * The last life of each member that was seen leaving; outlives the member's record,
	 * because a new leader or a late message may know no better than that it is active.
	 */
	private final Map<InstanceId, Incarnation> left = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<InstanceId, Incarnation> eldest) {
			return size() > MAX_LEFT;
		}

	};

	/**
	 * Takes over changes.
	 * @param changes the changes
	 * @param whole whether members not named are gone
	 */
	public void apply(List<EntryChange> changes, boolean whole) {
		Preconditions.notNull(changes, "changes");
		if (whole) {
			this.records.clear();
			this.failedDomains.clear();
		}
		for (EntryChange change : changes) {
			if (change.value().isPresent()) {
				set(change.key(), change.value().get());
			}
			else {
				MemberEntries.memberId(change.key()).ifPresent(this.records::remove);
			}
		}
	}

	/**
	 * Tells whether a member may be given new work.
	 * @param id the member
	 * @return {@code true} if it is active, this life of it was never seen leaving and
	 * its failure domain has not failed since
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
	 * Returns all members, failed ones included.
	 * @return a view of the records
	 */
	public Collection<MemberRecord> records() {
		return Collections.unmodifiableCollection(this.records.values());
	}

	/**
	 * Tells whether a record's member takes work.
	 * @param record a record of this view
	 * @return {@code true} if it is active and its failure domain has not failed since
	 */
	public boolean isActive(MemberRecord record) {
		return record.state() == MemberState.ACTIVE && !hasLeft(record) && !isDomainFailedSince(record);
	}

	boolean isDomainFailedSince(MemberRecord record) {
		return record.stamp() < this.failedDomains.getOrDefault(record.node().domain(), 0L);
	}

	void set(String key, Bytes value) {
		MemberEntries.member(key, value).ifPresent(this::put);
		MemberEntries.domainFailure(key, value)
			.ifPresent((failure) -> this.failedDomains.put(failure.domain(), failure.stamp()));
	}

	private void put(MemberRecord record) {
		this.records.put(record.node().id(), record);
		if (record.state() == MemberState.LEAVING) {
			this.left.merge(record.node().id(), record.node().incarnation(),
					(one, other) -> one.isBefore(other) ? other : one);
		}
	}

	private boolean hasLeft(MemberRecord record) {
		Incarnation last = this.left.get(record.node().id());
		return last != null && !last.isBefore(record.node().incarnation());
	}

	long highestStamp() {
		long members = this.records.values().stream().mapToLong(MemberRecord::stamp).max().orElse(0);
		long domains = this.failedDomains.values().stream().mapToLong(Long::longValue).max().orElse(0);
		return Math.max(members, domains);
	}

}
