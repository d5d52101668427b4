package org.comfreywall.sidecar.attempt;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.comfreywall.common.attempt.AnswerPart;
import org.comfreywall.common.attempt.AttemptEnd;
import org.comfreywall.common.attempt.AttemptTarget;
import org.comfreywall.common.attempt.AttemptTraits;
import org.comfreywall.common.id.AttemptId;

/**
 * State and stored answer of the latest attempt of one request.
 */
final class AttemptRecord {

	/** The greatest number of connections that receive the answer of one attempt. */
	static final int MAX_LINKS = 8;

	private final AttemptId attempt;

	private final AttemptTraits traits;

	private final List<AnswerPart> parts = new ArrayList<>();

	private final Set<EntryLink> links = new LinkedHashSet<>();

	private AttemptState state;

	private long nextSequence;

	private long storedBytes;

	private boolean partsDropped;

	private boolean delivered;

	private AttemptEnd end = AttemptEnd.BROKEN;

	private int crash;

	private long lastLinkAt;

	private long endedAt;

	private long endedWindow;

	private AttemptRecord(AttemptId attempt, AttemptTraits traits, AttemptState state) {
		this.attempt = attempt;
		this.traits = traits;
		this.state = state;
	}

	static AttemptRecord accepted(AttemptId attempt, AttemptTraits traits) {
		return new AttemptRecord(attempt, traits, AttemptState.QUEUED);
	}

	static AttemptRecord sealed(AttemptId attempt) {
		return new AttemptRecord(attempt, null, AttemptState.SEALED);
	}

	AttemptId attempt() {
		return this.attempt;
	}

	AttemptTraits traits() {
		return this.traits;
	}

	AttemptState state() {
		return this.state;
	}

	boolean isIdempotent() {
		return this.traits != null && this.traits.idempotent();
	}

	boolean permitsRetry(AttemptId next) {
		boolean retryable = this.state == AttemptState.SEALED || isIdempotent();
		return retryable && this.state.isEnded() && next.number() > this.attempt.number();
	}

	// An earlier attempt may have run before this record replaced it, unless this
	// record seals every attempt of the request.
	boolean mayHaveReplaced(AttemptId earlier) {
		boolean everyAttempt = this.attempt.equals(AttemptTarget.everyAttemptOf(earlier.request()));
		return earlier.number() < this.attempt.number() && !everyAttempt;
	}

	boolean isStartedClaim() {
		return this.traits != null && this.traits.claimed() && this.state != AttemptState.SEALED;
	}

	void markStarted() {
		this.state = AttemptState.RUNNING;
	}

	void markFinished() {
		this.state = AttemptState.FINISHED;
		this.delivered = !this.links.isEmpty();
	}

	void markFailed(AttemptEnd reason, int crashNumber) {
		this.state = AttemptState.FAILED;
		this.end = reason;
		this.crash = crashNumber;
	}

	void markSealed() {
		this.state = AttemptState.SEALED;
	}

	void markEnded(long now, long window) {
		this.links.clear();
		this.endedAt = now;
		this.endedWindow = window;
	}

	long addPart(AnswerPart part, boolean store) {
		if (store && !this.partsDropped) {
			this.parts.add(part);
			this.storedBytes += part.size();
		}
		else {
			dropParts();
		}
		return this.nextSequence++;
	}

	void dropParts() {
		this.parts.clear();
		this.storedBytes = 0;
		this.partsDropped = true;
	}

	boolean canReplayFrom(long sequence) {
		return sequence <= this.nextSequence && (!this.partsDropped || sequence == this.nextSequence);
	}

	List<AnswerPart> parts() {
		return this.parts;
	}

	long storedBytes() {
		return this.storedBytes;
	}

	Set<EntryLink> links() {
		return this.links;
	}

	boolean addLink(EntryLink link) {
		if (this.links.size() >= MAX_LINKS && !this.links.contains(link)) {
			return false;
		}
		this.links.add(link);
		return true;
	}

	void markDelivered() {
		this.delivered = true;
	}

	boolean isDelivered() {
		return this.delivered;
	}

	void removeLink(EntryLink link, long now) {
		if (this.links.remove(link)) {
			this.lastLinkAt = now;
		}
	}

	long lastLinkAt() {
		return this.lastLinkAt;
	}

	AttemptEnd end() {
		return this.end;
	}

	int crash() {
		return this.crash;
	}

	long endedAt() {
		return this.endedAt;
	}

	long endedWindow() {
		return this.endedWindow;
	}

}
