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
 * Checks the safety rules of request handling from what callers and backend servers
 * observe, independently of the state of entries and sidecars, and records each
 * violation.
 */
final class RuleChecker {

	/** The maximum number of backend servers that requests with one body may crash. */
	static final int MAX_BACKEND_CRASHES = 2;

	private static final int MAX_VIOLATION_TEXTS = 20;

	private final Map<RequestId, Operation> operationsByRequest = new HashMap<>();

	private final Map<RequestId, Integer> startsByRequest = new HashMap<>();

	private final Map<String, Integer> startsByOperation = new HashMap<>();

	/** The number of runs of the operation when the claim of a request was released. */
	private final Map<RequestId, Integer> startsAtRelease = new HashMap<>();

	private final Map<String, Integer> crashesByBody = new HashMap<>();

	private final Set<RequestId> reportedNotRun = new HashSet<>();

	private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);

	private final Map<Rule, Integer> violations = new EnumMap<>(Rule.class);

	private final List<String> violationTexts = new ArrayList<>();

	void recordSubmission(Submission submission) {
		this.operationsByRequest.put(submission.id(), submission.operation());
	}

	void recordStart(RequestId request, boolean afterDrainGrace) {
		Operation operation = this.operationsByRequest.get(request);
		int startsForRequest = this.startsByRequest.merge(request, 1, Integer::sum);
		int startsForOperation = this.startsByOperation.merge(operation.id(), 1, Integer::sum);
		check(operation.kind() != Operation.Kind.KEYED || startsForOperation <= 1, Rule.AT_MOST_ONCE, request);
		check(operation.kind() != Operation.Kind.UNKEYED || startsForRequest <= 1, Rule.AT_MOST_ONCE, request);
		check(!this.reportedNotRun.contains(request), Rule.NOT_RUN_IS_TRUE, request);
		check(!afterDrainGrace, Rule.LEAVING_GETS_NO_WORK, request);
	}

	void recordClaimRelease(RequestId owner) {
		this.startsAtRelease.put(owner, startCount(this.operationsByRequest.get(owner)));
	}

	void recordBackendCrash(RequestId request) {
		String body = this.operationsByRequest.get(request).body();
		check(this.crashesByBody.merge(body, 1, Integer::sum) <= MAX_BACKEND_CRASHES, Rule.TWO_LOST_AT_MOST, request);
	}

	void recordOutcome(Submission submission) {
		Outcome outcome = submission.outcome().orElseThrow();
		this.outcomes.merge(outcome, 1, Integer::sum);
		check(submission.isAnswerPrefix(), Rule.OWN_WHOLE_ANSWER, submission.id());
		if (outcome == Outcome.COMPLETED) {
			check(submission.isAnswerComplete(), Rule.OWN_WHOLE_ANSWER, submission.id());
		}
		else if (outcome == Outcome.NOT_RUN) {
			this.reportedNotRun.add(submission.id());
			check(!this.startsByRequest.containsKey(submission.id()), Rule.NOT_RUN_IS_TRUE, submission.id());
			boolean keyed = submission.operation().kind() == Operation.Kind.KEYED;
			check(!keyed || this.startsAtRelease.getOrDefault(submission.id(), 1) == 0, Rule.NOT_RUN_IS_TRUE,
					submission.id());
		}
	}

	void recordDrainEnd(String server, int running) {
		check(running == 0, Rule.DRAIN_INTERRUPTS_NOTHING, RequestId.of(server));
	}

	int startCount(Operation operation) {
		return this.startsByOperation.getOrDefault(operation.id(), 0);
	}

	int crashCount(Operation operation) {
		return this.crashesByBody.getOrDefault(operation.body(), 0);
	}

	int maxCrashCount() {
		return this.crashesByBody.values().stream().mapToInt(Integer::intValue).max().orElse(0);
	}

	int outcomes(Outcome outcome) {
		return this.outcomes.getOrDefault(outcome, 0);
	}

	int violations(Rule rule) {
		return this.violations.getOrDefault(rule, 0);
	}

	List<String> violationTexts() {
		return this.violationTexts;
	}

	private void check(boolean condition, Rule rule, RequestId request) {
		if (!condition) {
			this.violations.merge(rule, 1, Integer::sum);
			if (this.violationTexts.size() < MAX_VIOLATION_TEXTS) {
				this.violationTexts.add(rule + " " + request);
			}
		}
	}

	/**
	 * Safety rules.
	 */
	enum Rule {

		/** A non-idempotent request runs at most once. */
		AT_MOST_ONCE,
		/** A request whose outcome is reported as not run has not run and never will. */
		NOT_RUN_IS_TRUE,
		/**
		 * A caller receives the parts of its own answer only, in order, and all of them
		 * if the request completed.
		 */
		OWN_WHOLE_ANSWER,
		/** A backend server starts no run later than 2 s after its drain began. */
		LEAVING_GETS_NO_WORK,
		/** Requests with one body crash at most two backend servers. */
		TWO_LOST_AT_MOST,
		/** A drain ends only after all runs on the backend server have ended. */
		DRAIN_INTERRUPTS_NOTHING

	}

}
