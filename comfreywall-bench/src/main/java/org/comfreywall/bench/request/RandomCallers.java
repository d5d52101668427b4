package org.comfreywall.bench.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.result.Outcome;
import org.comfreywall.entry.request.CallerCancelled;

/**
 * Generates random callers that submit operations, resubmit them to the same or another
 * entry, and sometimes cancel their requests.
 */
final class RandomCallers {

	private static final Duration ARRIVAL_INTERVAL = Duration.ofMillis(2);

	private static final int POPULAR_BODY_COUNT = 200;

	private static final int POISON_ONE_IN = 400;

	private static final int CANCEL_ONE_IN = 50;

	/** A submission with this number is the last one: the caller does not repeat it. */
	private static final int LAST_SUBMISSION = 4;

	/** The number of times that a poison operation is submitted to all entries. */
	private static final int POISON_ROUNDS = 3;

	private final Simulation simulation;

	private final RandomGenerator random;

	private final long targetSubmissions;

	private final Set<Fingerprint> poisonFingerprints = new HashSet<>();

	private long operationCount;

	private long submissionCount;

	private long openCount;

	/**
	 * The virtual time, in nanoseconds, until which no new poison operation is submitted.
	 */
	private long poisonPausedUntil;

	RandomCallers(Simulation simulation, RandomGenerator random, long steps) {
		this.simulation = simulation;
		this.random = random;
		this.targetSubmissions = steps;
	}

	long operationCount() {
		return this.operationCount;
	}

	long submissionCount() {
		return this.submissionCount;
	}

	long openCount() {
		return this.openCount;
	}

	boolean isFinished() {
		return this.submissionCount >= this.targetSubmissions;
	}

	/**
	 * Submits no new poison operations for a time.
	 * @param duration the length of the pause
	 */
	void pausePoison(Duration duration) {
		this.poisonPausedUntil = this.simulation.now() + duration.toNanos();
	}

	boolean isHarmless(Fingerprint fingerprint) {
		return !this.poisonFingerprints.contains(fingerprint);
	}

	void generateArrivals() {
		if (isFinished()) {
			return;
		}
		this.operationCount++;
		boolean crashes = this.random.nextInt(POISON_ONE_IN) == 0 && this.simulation.now() >= this.poisonPausedUntil;
		Operation operation = createOperation(crashes);
		if (crashes) {
			this.poisonFingerprints.add(operation.fingerprint());
			for (int round = 0; round < POISON_ROUNDS; round++) {
				Duration wait = Duration.ofMillis(round * this.random.nextInt(1, 3_000));
				this.simulation.schedule(wait, () -> submitToAllEntries(operation));
			}
		}
		else {
			submit(operation, 1);
		}
		this.simulation.schedule(ARRIVAL_INTERVAL, this::generateArrivals);
	}

	private Operation createOperation(boolean crashes) {
		String id = "op" + this.operationCount;
		int kind = this.random.nextInt(100);
		if (kind < 45) {
			boolean popular = !crashes && this.random.nextBoolean();
			String body = popular ? "popular" + this.random.nextInt(POPULAR_BODY_COUNT) : id;
			return new Operation(id, Operation.Kind.IDEMPOTENT, body, crashes);
		}
		return new Operation(id, (kind < 90) ? Operation.Kind.KEYED : Operation.Kind.UNKEYED, id, crashes);
	}

	private void submitToAllEntries(Operation operation) {
		this.simulation.entries().forEach((entry) -> submitTo(entry, operation, LAST_SUBMISSION));
	}

	private void submit(Operation operation, int submissionNumber) {
		EntryNode entry = this.simulation.entries().get(this.random.nextInt(this.simulation.entries().size()));
		submitTo(entry, operation, submissionNumber);
		if (this.random.nextInt(20) == 0 && submissionNumber < LAST_SUBMISSION) {
			this.simulation.schedule(Duration.ofNanos(1_000L * this.random.nextInt(50_000)),
					() -> submit(operation, LAST_SUBMISSION));
		}
	}

	private void submitTo(EntryNode entry, Operation operation, int submissionNumber) {
		RequestId id = RequestId.of(operation.id() + "-" + this.submissionCount);
		this.submissionCount++;
		this.openCount++;
		entry.submit(new Submission(id, operation, (submission) -> handleEnd(submission, submissionNumber)));
		if (this.random.nextInt(CANCEL_ONE_IN) == 0) {
			this.simulation.schedule(Duration.ofNanos(1_000L * this.random.nextInt(40_000)),
					() -> entry.handle(new CallerCancelled(id)));
		}
	}

	private void handleEnd(Submission submission, int submissionNumber) {
		this.openCount--;
		submission.outcome().ifPresent((outcome) -> this.simulation.ruleChecker().recordOutcome(submission));
		boolean completed = submission.outcome().filter((outcome) -> outcome == Outcome.COMPLETED).isPresent();
		if (!completed && submissionNumber < LAST_SUBMISSION && this.random.nextInt(10) < 7) {
			this.simulation.schedule(Duration.ofNanos(1_000L * this.random.nextInt(1, 300_000)),
					() -> submit(submission.operation(), submissionNumber + 1));
		}
	}

}
