package org.comfreywall.gateway.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * The requests of a service that wait for a slot, by priority and arrival, and the wait
 * that is expected from the rate of completions.
 */
final class WaitingQueue {

	/**
	 * Maximum number of completions that the rate is averaged over; a few seconds of a
	 * busy entry.
	 */
	private static final int MAX_COMPLETIONS = 24;

	/** With fewer completions the rate is unknown, and the expected wait is 0. */
	private static final int MIN_COMPLETIONS = 4;

	private static final int MAX_LENGTH = 2_000;

	/**
	 * Order of the queue. Within a priority, requests that were rejected before are late
	 * already and lose least by waiting, so they come last.
	 */
	private static final Comparator<WaitingRequest> ORDER = Comparator.comparingInt(WaitingRequest::priority)
		.thenComparing(WaitingRequest::rejectedBefore)
		.thenComparingLong(WaitingRequest::arrival)
		.thenComparingLong(WaitingRequest::id);

	private final PriorityQueue<WaitingRequest> requests = new PriorityQueue<>(ORDER);

	private final Deque<Long> completions = new ArrayDeque<>();

	void add(WaitingRequest request) {
		this.requests.add(request);
	}

	int length() {
		return this.requests.size();
	}

	boolean isFull() {
		return this.requests.size() >= MAX_LENGTH;
	}

	/**
	 * Returns whether a request must wait behind another one.
	 * @param request the request
	 * @param holdsBack whether another request holds back those behind it
	 * @return {@code true} if such a request precedes it
	 */
	boolean hasRequestBefore(WaitingRequest request, Predicate<WaitingRequest> holdsBack) {
		return this.requests.stream().anyMatch((other) -> ORDER.compare(other, request) < 0 && holdsBack.test(other));
	}

	long requestsBefore(WaitingRequest request) {
		return this.requests.stream().filter((other) -> ORDER.compare(other, request) < 0).count();
	}

	void cancel(long request) {
		this.requests.removeIf((other) -> other.id() == request);
	}

	/**
	 * Removes the requests that a condition holds for.
	 * @param condition the condition
	 * @param decision the decision about a request that is removed
	 * @return the decisions
	 */
	List<SlotDecision> refuseIf(Predicate<WaitingRequest> condition, Function<WaitingRequest, SlotDecision> decision) {
		List<SlotDecision> decisions = new ArrayList<>();
		this.requests.removeIf((request) -> {
			boolean refused = condition.test(request);
			if (refused) {
				decisions.add(decision.apply(request));
			}
			return refused;
		});
		return decisions;
	}

	/**
	 * Removes the requests whose latest start has passed.
	 * @param now the current time in nanoseconds
	 * @param decision the decision about a request, after its removal
	 * @return the decisions
	 */
	List<SlotDecision> refuseLate(long now, Function<WaitingRequest, SlotDecision> decision) {
		List<SlotDecision> decisions = new ArrayList<>();
		Iterator<WaitingRequest> late = this.requests.iterator();
		while (late.hasNext()) {
			WaitingRequest request = late.next();
			if (now > request.latestStart()) {
				late.remove();
				decisions.add(decision.apply(request));
			}
		}
		return decisions;
	}

	/**
	 * Removes requests in order while there are slots for them.
	 * @param selection selects a server for a request
	 * @param mayBePassed whether a request without a slot does not hold back those behind
	 * it
	 * @return the requests that got a slot
	 */
	List<SlotDecision> grantWhile(Function<WaitingRequest, Optional<SlotDecision>> selection,
			Predicate<WaitingRequest> mayBePassed) {
		List<SlotDecision> granted = new ArrayList<>();
		List<WaitingRequest> skipped = new ArrayList<>();
		while (!this.requests.isEmpty()) {
			WaitingRequest first = this.requests.poll();
			Optional<SlotDecision> decision = selection.apply(first);
			if (decision.isPresent()) {
				granted.add(decision.get());
				continue;
			}
			skipped.add(first);
			if (!mayBePassed.test(first)) {
				break;
			}
		}
		this.requests.addAll(skipped);
		return granted;
	}

	void recordCompletion(long now) {
		this.completions.addLast(now);
		if (this.completions.size() > MAX_COMPLETIONS) {
			this.completions.removeFirst();
		}
	}

	/**
	 * Estimates the wait from the number of requests ahead and the rate of completions.
	 * Slots become free in bursts, as several requests of a batch end with the same
	 * forward pass, so the rate is averaged over many completions.
	 * @param request the request
	 * @param now the current time in nanoseconds
	 * @return the expected wait in nanoseconds
	 */
	double expectedWaitNanos(WaitingRequest request, long now) {
		long ahead = requestsBefore(request);
		if (this.completions.size() < MIN_COMPLETIONS) {
			return 0;
		}
		double nanosPerCompletion = (double) (now - this.completions.getFirst()) / this.completions.size();
		return (ahead + 1) * nanosPerCompletion;
	}

}
