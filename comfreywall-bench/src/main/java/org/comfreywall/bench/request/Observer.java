package org.comfreywall.bench.request;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.result.Outcome;

/**
 * Watches callers and backend servers from outside the cores and notes each breach of
 * what must always hold.
 */
final class Observer {

	/** Backend servers that one request may cost. */
	static final int MAX_LOST = 2;

	private static final int MAX_NOTED = 20;

	private final Map<RequestId, Operation> operations = new HashMap<>();

	private final Map<RequestId, Integer> startsOfSending = new HashMap<>();

	private final Map<String, Integer> startsOfOperation = new HashMap<>();

	/** How often an operation had run when the claim of a sending was released. */
	private final Map<RequestId, Integer> startsAtRelease = new HashMap<>();

	private final Map<String, Integer> lostTo = new HashMap<>();

	private final Set<RequestId> toldNotRun = new HashSet<>();

	private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);

	private final Map<Rule, Integer> breaches = new EnumMap<>(Rule.class);

	private final List<String> notes = new ArrayList<>();

	void sent(Sending sending) {
		this.operations.put(sending.id(), sending.operation());
	}

	void started(RequestId request, boolean late) {
		Operation operation = this.operations.get(request);
		int ofSending = this.startsOfSending.merge(request, 1, Integer::sum);
		int ofOperation = this.startsOfOperation.merge(operation.id(), 1, Integer::sum);
		check(operation.kind() != Operation.Kind.KEYED || ofOperation <= 1, Rule.AT_MOST_ONCE, request);
		check(operation.kind() != Operation.Kind.UNKEYED || ofSending <= 1, Rule.AT_MOST_ONCE, request);
		check(!this.toldNotRun.contains(request), Rule.NOT_RUN_IS_TRUE, request);
		check(!late, Rule.LEAVING_GETS_NO_WORK, request);
	}

	void released(RequestId owner) {
		this.startsAtRelease.put(owner, starts(this.operations.get(owner)));
	}

	void lost(RequestId request) {
		String body = this.operations.get(request).body();
		check(this.lostTo.merge(body, 1, Integer::sum) <= MAX_LOST, Rule.TWO_LOST_AT_MOST, request);
	}

	void told(Sending sending) {
		Outcome outcome = sending.outcome().orElseThrow();
		this.outcomes.merge(outcome, 1, Integer::sum);
		check(sending.isPrefix(), Rule.OWN_WHOLE_ANSWER, sending.id());
		if (outcome == Outcome.COMPLETED) {
			check(sending.isWhole(), Rule.OWN_WHOLE_ANSWER, sending.id());
		}
		else if (outcome == Outcome.NOT_RUN) {
			this.toldNotRun.add(sending.id());
			check(!this.startsOfSending.containsKey(sending.id()), Rule.NOT_RUN_IS_TRUE, sending.id());
			boolean keyed = sending.operation().kind() == Operation.Kind.KEYED;
			check(!keyed || this.startsAtRelease.getOrDefault(sending.id(), 1) == 0, Rule.NOT_RUN_IS_TRUE,
					sending.id());
		}
	}

	void interrupted(String server, int running) {
		check(running == 0, Rule.DRAIN_INTERRUPTS_NOTHING, RequestId.of(server));
	}

	int starts(Operation operation) {
		return this.startsOfOperation.getOrDefault(operation.id(), 0);
	}

	int lost(Operation operation) {
		return this.lostTo.getOrDefault(operation.body(), 0);
	}

	int worstLost() {
		return this.lostTo.values().stream().mapToInt(Integer::intValue).max().orElse(0);
	}

	int outcomes(Outcome outcome) {
		return this.outcomes.getOrDefault(outcome, 0);
	}

	int breaches(Rule rule) {
		return this.breaches.getOrDefault(rule, 0);
	}

	List<String> notes() {
		return this.notes;
	}

	private void check(boolean condition, Rule rule, RequestId request) {
		if (!condition) {
			this.breaches.merge(rule, 1, Integer::sum);
			if (this.notes.size() < MAX_NOTED) {
				this.notes.add(rule + " " + request);
			}
		}
	}

	/**
	 * What must always hold.
	 */
	enum Rule {

		/** A non-idempotent request runs at most once. */
		AT_MOST_ONCE,
		/** A request said not to have run never ran and never runs. */
		NOT_RUN_IS_TRUE,
		/** Each caller gets the whole answer to its own request. */
		OWN_WHOLE_ANSWER,
		/** A leaving backend server gets no new work after 2 s. */
		LEAVING_GETS_NO_WORK,
		/** No more than two backend servers are lost to one request. */
		TWO_LOST_AT_MOST,
		/** A leaving backend server stops only when nothing runs. */
		DRAIN_INTERRUPTS_NOTHING

	}

}
