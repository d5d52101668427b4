package org.comfreywall.gateway.pool;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.comfreywall.gateway.config.PrefillShape;

/**
 * The work of requests of known size on the servers of one service, as one entry knows
 * it. Without the shape of the engines, and for a request of unknown size, it changes no
 * decision.
 * <p>
 * Not thread-safe.
 */
public final class ServiceWork {

	private final EntryCount entries = new EntryCount();

	private Optional<WorkBalancer> balancer = Optional.empty();

	ServiceWork() {
	}

	/**
	 * Weighs the work in flight on each server for requests of known size. Setting the
	 * same shape again has no effect.
	 * @param shape how the engines read prompts; empty to count requests only
	 */
	public void weigh(Optional<PrefillShape> shape) {
		if (shape.isEmpty() || this.balancer.filter((present) -> present.isFor(shape.get())).isEmpty()) {
			this.balancer = shape.map(WorkBalancer::new);
		}
	}

	void weigh(WorkBalancer chosen) {
		this.balancer = Optional.of(chosen);
	}

	/**
	 * Records an event of a response, which shows that the request's prompt was read.
	 * @param server the server
	 * @param request the request's identifier at this entry
	 */
	public void recordEvent(PoolServer server, long request) {
		server.work().recordEvent(request);
	}

	/**
	 * Records how a request of known size was served.
	 * @param size the request's size
	 * @param nanos the time to its first event in nanoseconds
	 * @param objective the objective for that time in nanoseconds
	 * @return whether short prompts are admitted first by the engines from now on; empty
	 * if that has not changed
	 */
	public Optional<Boolean> recordFirstEvent(RequestSize size, long nanos, long objective) {
		return this.balancer.flatMap((present) -> present.recordFirstEvent(size, nanos, objective));
	}

	/**
	 * Returns the priority of a request at the engine.
	 * @param size the request's size
	 * @param urgency the priority of its kind; 0 is the highest
	 * @return the priority, from 0 (first) to 9; empty for the engine's default
	 */
	public OptionalInt enginePriority(RequestSize size, int urgency) {
		return this.balancer.map((present) -> present.enginePriority(size, urgency)).orElseGet(OptionalInt::empty);
	}

	/**
	 * Returns the place of a request among the last ones.
	 * @param size the request's size
	 * @return the class; empty if work is not weighed
	 */
	public Optional<SizeClass> sizeClass(RequestSize size) {
		return this.balancer.map((present) -> SizeClass.of(present.quantile(size)));
	}

	void recordArrival(WaitingRequest request) {
		this.balancer.ifPresent((present) -> present.recordArrival(request));
	}

	void recordSent(PoolServer server, WaitingRequest request, long now) {
		this.balancer.ifPresent(
				(present) -> request.size().ifPresent((size) -> present.recordSent(server, request.id(), size, now)));
	}

	void recordSentByOthers(PoolServer server, int more, long now) {
		this.balancer.ifPresent((present) -> present.recordSentByOthers(server, more, now));
	}

	void recordEntries(int known, long now) {
		this.entries.record(known, now);
	}

	Optional<PoolServer> select(ServerSelector selector, List<PoolServer> free, WaitingRequest request,
			double othersPerSecond, long now) {
		if (this.balancer.isEmpty() || request.size().isEmpty()) {
			return selector.select(free, othersPerSecond);
		}
		return this.balancer.get().select(selector, free, request.size().get(), othersPerSecond, now);
	}

	/**
	 * Returns whether the tokens of a request fit into the memory of a server.
	 * @param server the server
	 * @param request the request
	 * @param now the current time in nanoseconds
	 * @return {@code true} also if its size or the memory is unknown
	 */
	boolean fits(PoolServer server, WaitingRequest request, long now) {
		return this.balancer.isEmpty() || request.size()
			.filter((size) -> !this.balancer.get().bound().allows(server.work(), size, this.entries.count(now)))
			.isEmpty();
	}

	/**
	 * Returns whether a request may have to wait for memory. It does not hold back those
	 * that need none.
	 * @param request the request
	 * @return {@code false} if every server has room for it
	 */
	boolean mayAwaitMemory(WaitingRequest request) {
		return this.balancer.isPresent()
				&& request.size().filter((size) -> !this.balancer.get().bound().isOrdinary(size)).isPresent();
	}

	/**
	 * Returns why no server can hold a request, whatever else it runs.
	 * @param request the request
	 * @param now the current time in nanoseconds
	 * @return the reason of a refusal, or empty if a server can hold it
	 */
	Optional<String> findExcess(WaitingRequest request, long now) {
		if (!mayAwaitMemory(request)) {
			return Optional.empty();
		}
		TokenBound bound = this.balancer.get().bound();
		RequestSize size = request.size().get();
		if (bound.exceedsMemory(size)) {
			return Optional.of("exceeds-memory");
		}
		return bound.allowsAlone(size, this.entries.count(now)) ? Optional.empty() : Optional.of("exceeds-token-share");
	}

}
