package org.comfreywall.control.runtime;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.log.LogPosition;

/**
 * Proposals and reads that have not completed; bounded by the limits of the input queue
 * and the log.
 */
final class PendingCalls {

	/** Proposals without a log position yet, by call id. */
	private final Map<Long, PendingProposal> submittedProposals = new HashMap<>();

	/** Proposals in the log that are not applied yet, by log index. */
	private final TreeMap<Long, PendingProposal> acceptedProposals = new TreeMap<>();

	/** Reads that the log has not confirmed yet, by call id. */
	private final Map<Long, PendingRead> unconfirmedReads = new HashMap<>();

	/** Confirmed reads, by the log index that must be applied first. */
	private final TreeMap<Long, List<PendingRead>> confirmedReads = new TreeMap<>();

	private long nextId = 1;

	long add(PendingProposal proposal) {
		this.submittedProposals.put(this.nextId, proposal);
		return this.nextId++;
	}

	long add(PendingRead read) {
		this.unconfirmedReads.put(this.nextId, read);
		return this.nextId++;
	}

	void assignPosition(long id, LogPosition position) {
		PendingProposal proposal = this.submittedProposals.remove(id);
		if (proposal == null) {
			return;
		}
		PendingProposal replaced = this.acceptedProposals.put(position.index(), proposal.withPosition(position));
		if (replaced != null) {
			replaced.fail(leaderChangedError());
		}
	}

	void failProposal(long id, OperationError error) {
		PendingProposal proposal = this.submittedProposals.remove(id);
		if (proposal != null) {
			proposal.fail(error);
		}
	}

	// Completes the proposal at an applied index, or fails it if the index holds an
	// entry of another term.
	void completeAt(LogPosition position, Result<Bytes> answer) {
		PendingProposal proposal = this.acceptedProposals.remove(position.index());
		if (proposal == null) {
			return;
		}
		if (proposal.hasPosition(position)) {
			proposal.complete(answer);
		}
		else {
			proposal.fail(leaderChangedError());
		}
	}

	private static OperationError leaderChangedError() {
		return OperationError.local(ErrorCode.UNAVAILABLE, Step.REPLICATE,
				"the proposal was not accepted because the leader changed; submit it again to the new leader");
	}

	void confirmRead(long id, long index, long appliedIndex) {
		PendingRead read = this.unconfirmedReads.remove(id);
		if (read == null) {
			return;
		}
		if (index <= appliedIndex) {
			read.run();
		}
		else {
			this.confirmedReads.computeIfAbsent(index, (unused) -> new ArrayList<>()).add(read);
		}
	}

	void failRead(long id, OperationError error) {
		PendingRead read = this.unconfirmedReads.remove(id);
		if (read != null) {
			read.fail(error);
		}
	}

	void runReadsUpTo(long appliedIndex) {
		Map<Long, List<PendingRead>> ready = this.confirmedReads.headMap(appliedIndex, true);
		ready.values().forEach((reads) -> reads.forEach(PendingRead::run));
		ready.clear();
	}

	// Fails the calls submitted before the given clock reading in nanoseconds.
	void expireBefore(long deadline) {
		OperationError error = OperationError.local(ErrorCode.DEADLINE_EXCEEDED, Step.REPLICATE,
				"no quorum responded before the timeout; the outcome is unknown, so send the same change again");
		expire(this.submittedProposals.values().iterator(), deadline, error);
		expire(this.acceptedProposals.values().iterator(), deadline, error);
		expireReads(this.unconfirmedReads.values().iterator(), deadline, error);
		this.confirmedReads.values().forEach((reads) -> expireReads(reads.iterator(), deadline, error));
	}

	private static void expire(Iterator<PendingProposal> proposals, long deadline, OperationError error) {
		while (proposals.hasNext()) {
			PendingProposal proposal = proposals.next();
			if (proposal.submittedAt() - deadline < 0) {
				proposals.remove();
				proposal.fail(error);
			}
		}
	}

	private static void expireReads(Iterator<PendingRead> reads, long deadline, OperationError error) {
		while (reads.hasNext()) {
			PendingRead read = reads.next();
			if (read.submittedAt() - deadline < 0) {
				reads.remove();
				read.fail(error);
			}
		}
	}

	void failAll(OperationError error) {
		List<PendingProposal> proposals = new ArrayList<>(this.submittedProposals.values());
		proposals.addAll(this.acceptedProposals.values());
		List<PendingRead> waiting = new ArrayList<>(this.unconfirmedReads.values());
		this.confirmedReads.values().forEach(waiting::addAll);
		this.submittedProposals.clear();
		this.acceptedProposals.clear();
		this.unconfirmedReads.clear();
		this.confirmedReads.clear();
		proposals.forEach((proposal) -> proposal.fail(error));
		waiting.forEach((read) -> read.fail(error));
	}

}
