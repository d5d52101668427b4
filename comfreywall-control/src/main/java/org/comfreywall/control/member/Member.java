package org.comfreywall.control.member;

import java.util.HashSet;
import java.util.Set;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.control.spread.NodeDescriptor;

/**
 * The leader's state of one member: its published record, presence, probe and damping.
 */
final class Member {

	/** The nodes that could not reach the member in the current round of probes. */
	private final Set<InstanceId> failedProbers = new HashSet<>();

	private MemberRecord record;

	private boolean left;

	private boolean reported;

	private boolean probing;

	private long probeStartedAt;

	private long probeNonce;

	private long suspectAfter;

	private int returnCount;

	private long lastReturnAt;

	private long heldBackUntil;

	private long failedAt;

	Member(MemberRecord record) {
		record(record);
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

	void record(MemberRecord record) {
		this.record = record;
		this.left = this.left || record.state() == MemberState.LEAVING;
	}

	/**
	 * Returns whether the current incarnation was leaving at any time.
	 * @return {@code true} if the incarnation must not become active again
	 */
	boolean hasLeft() {
		return this.left;
	}

	void beginIncarnation() {
		this.left = false;
	}

	boolean isReported() {
		return this.reported;
	}

	void markReported() {
		this.reported = true;
		endProbe();
	}

	void markUnreported(long now, long graceNanos) {
		this.reported = false;
		this.suspectAfter = now + graceNanos;
	}

	boolean isSuspected(long now) {
		return !this.reported && this.record.state() != MemberState.FAILED && now >= this.suspectAfter;
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
		this.suspectAfter = until;
	}

	int countReturn(long now, long windowNanos) {
		this.returnCount = (now - this.lastReturnAt > windowNanos) ? 1 : this.returnCount + 1;
		this.lastReturnAt = now;
		return this.returnCount;
	}

	void holdBack(long until) {
		this.heldBackUntil = until;
	}

	void markFailed(long now) {
		this.failedAt = now;
		endProbe();
	}

	long failedAt() {
		return this.failedAt;
	}

	long heldBackUntil() {
		return this.heldBackUntil;
	}

}
