package org.comfreywall.gateway.pool;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.function.IntSupplier;

import org.comfreywall.common.util.Preconditions;

/**
 * Limits the requests in flight on an expert-parallel group, so that the pauses between
 * the events of its streams stay within their target.
 * <p>
 * All ranks execute each forward pass together, so each request in flight lengthens the
 * pauses of all streams: a pause is a fixed time plus a cost per request, which is
 * measured and depends on how evenly the experts are loaded. The highest cost of the last
 * seconds counts. When callers begin to choose other experts, passes are long until the
 * expert map has followed, and every stream that is open then would miss its target; a
 * limit that only reacts comes too late for it.
 * <p>
 * Not thread-safe.
 */
final class PauseLimit {

	/**
	 * Share of the target that pauses may take; the rest is for the way to the caller.
	 */
	private static final double USABLE_SHARE = 0.9;

	/**
	 * A limit below this share of the slots is not applied: rejecting that many requests
	 * costs their callers more than late events cost.
	 */
	private static final double MIN_SHARE = 0.5;

	/**
	 * Pauses with a smaller share of the slots in use are not counted, as reading prompts
	 * and copying experts lengthen passes however few requests there are. A larger share
	 * would miss the cost before the first shift of a rising load.
	 */
	private static final double MIN_USED_SHARE = 0.25;

	/** Minimum number of pauses whose median is taken; some parts are split or joined. */
	static final int MIN_PAUSES = 8;

	/**
	 * The same if the service has several groups. An entry has only a few streams in each
	 * of them: bins of eight pauses last longer than the few hundred milliseconds in
	 * which passes are long after a shift, which is then missed.
	 */
	static final int MIN_PAUSES_OF_SEVERAL_GROUPS = 3;

	private static final long MIN_BIN_NANOS = 50_000_000L;

	/** Longer than the few seconds between two changes of the chosen experts. */
	private static final long MEMORY_NANOS = 5_000_000_000L;

	private final Duration target;

	private final Duration base;

	private final IntSupplier minPauses;

	private final List<Long> pauses = new ArrayList<>();

	private long binStart;

	private long lastPause;

	private OptionalDouble previousCost = OptionalDouble.empty();

	private final Deque<MeasuredCost> costs = new ArrayDeque<>();

	/**
	 * Creates a limit without measurements.
	 * @param target the longest pause that callers accept
	 * @param base the duration of a pass without any request
	 */
	PauseLimit(Duration target, Duration base) {
		this(target, base, () -> MIN_PAUSES);
	}

	/**
	 * Creates a limit without measurements.
	 * @param target the longest pause that callers accept
	 * @param base the duration of a pass without any request
	 * @param minPauses returns the least number of pauses whose median is taken
	 */
	PauseLimit(Duration target, Duration base, IntSupplier minPauses) {
		this.target = Preconditions.notNull(target, "target");
		this.base = Preconditions.notNull(base, "base");
		this.minPauses = Preconditions.notNull(minPauses, "minPauses");
	}

	/**
	 * Returns whether this limit has the given target and base.
	 * @param otherTarget the target to compare
	 * @param otherBase the base to compare
	 * @return {@code true} if both are equal
	 */
	boolean isFor(Duration otherTarget, Duration otherBase) {
		return this.target.equals(otherTarget) && this.base.equals(otherBase);
	}

	/**
	 * Records a pause between two events of a stream.
	 * @param nanos the pause in nanoseconds
	 * @param inFlight the requests in flight on the group
	 * @param now the current time in nanoseconds
	 */
	void recordPause(long nanos, IntSupplier inFlight, long now) {
		if (this.pauses.isEmpty()) {
			this.binStart = now;
		}
		this.pauses.add(nanos);
		if (this.pauses.size() >= this.minPauses.getAsInt() && now - this.binStart >= MIN_BIN_NANOS) {
			Collections.sort(this.pauses);
			this.lastPause = this.pauses.get(this.pauses.size() / 2);
			this.pauses.clear();
			recordCost(Math.max(1, inFlight.getAsInt()), now);
		}
	}

	// A single long pause of this process or of a link is no property of the group.
	private void recordCost(int inFlight, long now) {
		double cost = Math.max(0, this.lastPause - this.base.toNanos()) / (double) inFlight;
		this.previousCost
			.ifPresent((previous) -> this.costs.addLast(new MeasuredCost(Math.min(previous, cost), inFlight, now)));
		this.previousCost = OptionalDouble.of(cost);
	}

	/**
	 * Returns the limit.
	 * @param slots the slots of the group's servers
	 * @param now the current time in nanoseconds
	 * @return the most requests that may be in flight; empty if the target is kept
	 * without a limit or would be missed with any reasonable limit
	 */
	OptionalInt limit(int slots, long now) {
		while (!this.costs.isEmpty() && now - this.costs.getFirst().at() > MEMORY_NANOS) {
			this.costs.removeFirst();
		}
		double least = MIN_SHARE * slots;
		double[] allowed = this.costs.stream()
			.filter((measured) -> measured.inFlight() >= MIN_USED_SHARE * slots)
			.mapToDouble(this::allowedBy)
			.toArray();
		if (allowed.length == 0 || allowed[allowed.length - 1] < least) {
			return OptionalInt.empty();
		}
		double lowest = Arrays.stream(allowed).filter((each) -> each >= least).min().orElseThrow();
		return (lowest < Integer.MAX_VALUE) ? OptionalInt.of((int) lowest) : OptionalInt.empty();
	}

	/**
	 * Returns the last pause that most streams had.
	 * @return the pause; zero if none has been recorded
	 */
	Duration lastPause() {
		return Duration.ofNanos(this.lastPause);
	}

	private double allowedBy(MeasuredCost measured) {
		double usable = USABLE_SHARE * this.target.toNanos() - this.base.toNanos();
		return (measured.nanosPerRequest() > 0) ? usable / measured.nanosPerRequest() : Integer.MAX_VALUE;
	}

	private record MeasuredCost(double nanosPerRequest, int inFlight, long at) {
	}

}
