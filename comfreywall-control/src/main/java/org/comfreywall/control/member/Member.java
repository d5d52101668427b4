package org.comfreywall.control.member;

import java.util.HashSet;
import java.util.Set;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.control.spread.NodeDescriptor;

/**
 * The leader's state of one member: the published record, the presence, the current round
 * of probes and the flap damping.
 */
final class Member {

	/** The probers that could not reach the member in the current round of probes. */
	private final Set<InstanceId> failedProbers = new HashSet<>();

	private MemberRecord record;

	private boolean everLeaving;

	private boolean reported;

	private boolean probing;

	private long probeStartedAt;

	private long probeNonce;

	private long suspectedFrom;

	private int returnCount;

	private long lastReturnAt;

	private long returnDelayedUntil;

	private long failedAt;

	Member(MemberRecord record) {
		setRecord(record);
	}

	NodeDescriptor node() {
		return this.record.node();
	}

	InstanceId id() {
		return this.record.node().id();
	}

	MemberRecord record() {
		return this.record;
	}

	MemberState state() {
		return this.record.state();
	}

	void setRecord(MemberRecord record) {
		this.record = record;
		this.everLeaving = this.everLeaving || record.state() == MemberState.LEAVING;
	}

	/**
	 * Returns whether the current incarnation has ever been leaving. Such an incarnation
	 * must not become active again.
	 * @return {@code true} if the incarnation is or has been leaving
	 */
	boolean wasLeaving() {
		return this.everLeaving;
	}

	void beginIncarnation() {
		this.everLeaving = false;
	}

	boolean isReported() {
		return this.reported;
	}

	void markReported() {
		this.reported = true;
		endProbe();
	}

	void markUnreported(long now, long suspicionTimeoutNanos) {
		this.reported = false;
		this.suspectedFrom = now + suspicionTimeoutNanos;
	}

	boolean isSuspected(long now) {
		return !this.reported && this.record.state() != MemberState.FAILED && now >= this.suspectedFrom;
	}

	boolean isProbing() {
		return this.probing;
	}

	long probeStartedAt() {
		return this.probeStartedAt;
	}

	Set<InstanceId> failedProbers() {
		return this.failedProbers;
	}

	boolean isCurrentProbe(long nonce) {
		return this.probing && this.probeNonce == nonce;
	}

	void startProbe(long nonce, long now) {
		this.probing = true;
		this.probeNonce = nonce;
		this.probeStartedAt = now;
		this.failedProbers.clear();
	}

	void endProbe() {
		this.probing = false;
		this.failedProbers.clear();
	}

	void deferSuspicion(long until) {
		endProbe();
		this.suspectedFrom = until;
	}

	int countReturn(long now, long windowNanos) {
		this.returnCount = (now - this.lastReturnAt > windowNanos) ? 1 : this.returnCount + 1;
		this.lastReturnAt = now;
		return this.returnCount;
	}

	void delayReturnUntil(long until) {
		this.returnDelayedUntil = until;
	}

	void markFailed(long now) {
		this.failedAt = now;
		endProbe();
	}

	long failedAt() {
		return this.failedAt;
	}

	long returnDelayedUntil() {
		return this.returnDelayedUntil;
	}

}
