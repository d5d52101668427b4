package org.comfreywall.entry.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.invariant.Invariants;

/**
 * Settings, policies, clock and command queue shared by all requests of one tracker.
 */
final class RequestContext {

	private final RequestTrackerSettings settings;

	private final RetryPolicy retryPolicy;

	private final Invariants invariants;

	private final DecisionListener listener;

	private List<RequestCommand> commands = new ArrayList<>();

	private long now;

	RequestContext(RequestTrackerSettings settings, RetryPolicy retryPolicy, Invariants invariants,
			DecisionListener listener) {
		this.settings = settings;
		this.retryPolicy = retryPolicy;
		this.invariants = invariants;
		this.listener = listener;
	}

	void advance(long time) {
		this.now = Math.max(this.now, time);
	}

	long now() {
		return this.now;
	}

	long timeAfter(Duration delay) {
		return this.now + delay.toNanos();
	}

	RequestTrackerSettings settings() {
		return this.settings;
	}

	RetryPolicy retryPolicy() {
		return this.retryPolicy;
	}

	Invariants invariants() {
		return this.invariants;
	}

	void emit(RequestCommand command) {
		this.commands.add(command);
	}

	List<RequestCommand> drainCommands() {
		List<RequestCommand> taken = this.commands;
		this.commands = new ArrayList<>();
		return taken;
	}

	void record(DecisionKind kind, RequestId request, String result, Field... inputs) {
		this.listener.onDecision(DecisionRecord.of(kind, request.toString(), result, inputs));
	}

}
