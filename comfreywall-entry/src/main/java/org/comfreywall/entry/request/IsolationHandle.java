package org.comfreywall.entry.request;

import java.util.List;

import org.comfreywall.common.poison.CrashEvidence;
import org.comfreywall.common.poison.CrashReport;
import org.comfreywall.common.poison.IsolationEnd;

/**
 * The suspicion against a request and its hold on the fleet-wide slot for isolated runs.
 */
final class IsolationHandle {

	private final RequestContext context;

	private final RequestSpec spec;

	private boolean suspected;

	private boolean held;

	IsolationHandle(RequestContext context, RequestSpec spec) {
		this.context = context;
		this.spec = spec;
	}

	void markSuspected() {
		this.suspected = true;
	}

	boolean isSuspected() {
		return this.suspected;
	}

	void acquire() {
		this.context.emit(new AcquireIsolation(this.spec.id(), this.spec.fingerprint()));
	}

	void markHeld() {
		this.held = true;
	}

	void clearSuspicion() {
		this.suspected = false;
	}

	boolean isHeld() {
		return this.held;
	}

	void recordCrash(FollowedAttempt source, CrashEvidence evidence, int crashNumber) {
		this.context.emit(new RecordCrash(this.spec.id(), new CrashReport(evidence, source.backendServer(),
				source.incarnation(), crashNumber, List.of(this.spec.fingerprint()), this.held)));
		release(IsolationEnd.LOST);
	}

	void release(IsolationEnd end) {
		if (this.held) {
			this.held = false;
			this.context.emit(new ReleaseIsolation(this.spec.id(), this.spec.fingerprint(), end));
		}
	}

}
