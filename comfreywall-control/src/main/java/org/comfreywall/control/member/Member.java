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
	private final Set<InstanceId> unreached = new HashSet<>();

	private MemberRecord record;

	private boolean left;

	private boolean reported;

	private boolean probing;

	private long probedAt;

	private long probeNonce;

	private long judgeAfter;

	private int returnCount;

	private long lastReturnAt;

	private long heldUntil;

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
	boolean isLeft() {
		return this.left;
	}

	void beginLife() {
		this.left = false;
	}

	boolean isHeard() {
		return this.reported;
	}

	void heard() {
		this.reported = true;
		endProbe();
	}

	void unheard(long now, long graceNanos) {
		this.reported = false;
		this.judgeAfter = now + graceNanos;
	}

	boolean isSuspect(long now) {
		return !this.reported && this.record.state() != MemberState.FAILED && now >= this.judgeAfter;
	}

	boolean isProbing() {
		return this.probing;
	}

	long probedAt() {
		return this.probedAt;
	}

	Set<InstanceId> unreached() {
		return this.unreached;
	}

	boolean isAskedBy(long nonce) {
		return this.probing && this.probeNonce == nonce;
	}

	void beginProbe(long nonce, long now) {
		this.probing = true;
		this.probeNonce = nonce;
		this.probedAt = now;
		this.unreached.clear();
	}

	void endProbe() {
		this.probing = false;
		this.unreached.clear();
	}

	void spare(long until) {
		endProbe();
		this.judgeAfter = until;
	}

	int countReturn(long now, long windowNanos) {
		this.returnCount = (now - this.lastReturnAt > windowNanos) ? 1 : this.returnCount + 1;
		this.lastReturnAt = now;
		return this.returnCount;
	}

	void hold(long until) {
		this.heldUntil = until;
	}

	void failed(long now) {
		this.failedAt = now;
		endProbe();
	}

	long failedAt() {
		return this.failedAt;
	}

	long heldUntil() {
		return this.heldUntil;
	}

}
