package org.comfreywall.control.log;

import java.util.List;
import java.util.Optional;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.state.LogTime;

/**
 * Creates the bootstrap batch of a log, which is the same on all initial voters.
 */
public final class BootstrapBatch {

	/** The identifier of the data folders of all initial voters. */
	public static final long STORAGE_ID = 1;

	/** The index of the entry that sets the initial membership. */
	static final long INDEX = 1;

	private BootstrapBatch() {
	}

	/**
	 * Creates the bootstrap batch.
	 * @param initialVoters the initial voters, in the same order on all of them
	 * @return a batch with one entry that sets the initial membership
	 */
	public static LogBatch of(List<InstanceId> initialVoters) {
		Preconditions.check(!initialVoters.isEmpty(), "initialVoters must not be empty");
		Membership membership = new Membership(
				initialVoters.stream().map((voter) -> new Member(voter, STORAGE_ID, true)).toList());
		LogEntry entry = new LogEntry(new LogPosition(INDEX, Term.ZERO), LogTime.ZERO,
				new MembershipContent(membership));
		return new LogBatch(Optional.empty(), List.of(entry));
	}

}
