package org.comfreywall.control.member;

import java.util.HashSet;
import java.util.Set;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.control.spread.NodeDescriptor;

/**
 * What the leader knows of one member.
 */
final class Member {

	/** The nodes that did not reach the member in the present round of probes. */
	private final Set<InstanceId> unreached = new HashSet<>();

	private MemberRecord record;

	private boolean left;

	private boolean heard;

	private boolean probing;

	private long probedAt;

	private long probeNonce;

	private long judgeAfter;

	private int returns;

	private long returnedAt;

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
	 * Tells whether the present life was ever leaving.
	 * @return {@code true} if it may never be active again
	 */
	boolean isLeft() {
		return this.left;
	}

	void beginLife() {
		this.left = false;
	}

	boolean isHeard() {
		return this.heard;
	}

	void heard() {
		this.heard = true;
		endProbe();
	}

	void unheard(long now, long graceNanos) {
		this.heard = false;
		this.judgeAfter = now + graceNanos;
	}

	boolean isSuspect(long now) {
		return !this.heard && this.record.state() != MemberState.FAILED && now >= this.judgeAfter;
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
		this.returns = (now - this.returnedAt > windowNanos) ? 1 : this.returns + 1;
		this.returnedAt = now;
		return this.returns;
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
