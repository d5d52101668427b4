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
 * Callers who send, send again and lose their patience.
 */
final class RandomCallers {

	private static final Duration ARRIVAL_TIME = Duration.ofMillis(2);

	private static final int POPULAR_BODIES = 200;

	private static final int POISON_ONE_IN = 400;

	private static final int CANCEL_ONE_IN = 50;

	private static final int MAX_SENDINGS = 4;

	private static final int POISON_ROUNDS = 3;

	private final World world;

	private final RandomGenerator random;

	private final long steps;

	private final Set<Fingerprint> poison = new HashSet<>();

	private long operations;

	private long sendings;

	private long open;

	private long quietUntil;

	RandomCallers(World world, RandomGenerator random, long steps) {
		this.world = world;
		this.random = random;
		this.steps = steps;
	}

	long operations() {
		return this.operations;
	}

	long sendings() {
		return this.sendings;
	}

	long open() {
		return this.open;
	}

	boolean isFinished() {
		return this.sendings >= this.steps;
	}

	/**
	 * Sends no poison requests for a while.
	 * @param duration how long
	 */
	void holdPoison(Duration duration) {
		this.quietUntil = this.world.now() + duration.toNanos();
	}

	boolean isInnocent(Fingerprint fingerprint) {
		return !this.poison.contains(fingerprint);
	}

	void arrive() {
		if (isFinished()) {
			return;
		}
		this.operations++;
		boolean crashes = this.random.nextInt(POISON_ONE_IN) == 0 && this.world.now() >= this.quietUntil;
		Operation operation = operation(crashes);
		if (crashes) {
			this.poison.add(operation.fingerprint());
			for (int round = 0; round < POISON_ROUNDS; round++) {
				Duration wait = Duration.ofMillis(round * this.random.nextInt(1, 3_000));
				this.world.after(wait, () -> sendEverywhere(operation));
			}
		}
		else {
			send(operation, 1);
		}
		this.world.after(ARRIVAL_TIME, this::arrive);
	}

	private Operation operation(boolean crashes) {
		String id = "op" + this.operations;
		int kind = this.random.nextInt(100);
		if (kind < 45) {
			boolean popular = !crashes && this.random.nextBoolean();
			String body = popular ? "popular" + this.random.nextInt(POPULAR_BODIES) : id;
			return new Operation(id, Operation.Kind.IDEMPOTENT, body, crashes);
		}
		return new Operation(id, (kind < 90) ? Operation.Kind.KEYED : Operation.Kind.UNKEYED, id, crashes);
	}

	private void sendEverywhere(Operation operation) {
		this.world.entries().forEach((entry) -> sendTo(entry, operation, MAX_SENDINGS));
	}

	private void send(Operation operation, int number) {
		EntryNode entry = this.world.entries().get(this.random.nextInt(this.world.entries().size()));
		sendTo(entry, operation, number);
		if (this.random.nextInt(20) == 0 && number < MAX_SENDINGS) {
			this.world.after(Duration.ofNanos(1_000L * this.random.nextInt(50_000)),
					() -> send(operation, MAX_SENDINGS));
		}
	}

	private void sendTo(EntryNode entry, Operation operation, int number) {
		RequestId id = RequestId.of(operation.id() + "-" + this.sendings);
		this.sendings++;
		this.open++;
		entry.accept(new Sending(id, operation, (sending) -> ended(sending, number)));
		if (this.random.nextInt(CANCEL_ONE_IN) == 0) {
			this.world.after(Duration.ofNanos(1_000L * this.random.nextInt(40_000)),
					() -> entry.handle(new CallerCancelled(id)));
		}
	}

	private void ended(Sending sending, int number) {
		this.open--;
		sending.outcome().ifPresent((outcome) -> this.world.observer().told(sending));
		boolean satisfied = sending.outcome().filter((outcome) -> outcome == Outcome.COMPLETED).isPresent();
		if (!satisfied && number < MAX_SENDINGS && this.random.nextInt(10) < 7) {
			this.world.after(Duration.ofNanos(1_000L * this.random.nextInt(1, 300_000)),
					() -> send(sending.operation(), number + 1));
		}
	}

}
