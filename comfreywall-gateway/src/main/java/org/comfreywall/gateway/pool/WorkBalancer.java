package org.comfreywall.gateway.pool;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.gateway.config.PrefillShape;

/**
 * Decisions about requests of known size, at one of several entries that share the
 * servers of a service: which server gets a request ({@link WorkCost}), whether it fits
 * into a server's memory ({@link TokenBound}), and which are admitted first by an engine
 * ({@link EnginePriority}). It addresses long prompts beside short ones.
 */
final class WorkBalancer {

	private final PrefillShape shape;

	private final WorkCost cost;

	private final FirstEventEstimate estimate;

	private final TokenBound bound;

	private final PromptQuantiles quantiles = new PromptQuantiles();

	private final EnginePriority priority = new EnginePriority();

	WorkBalancer(PrefillShape shape) {
		this(shape, new FirstEventEstimate(shape));
	}

	WorkBalancer(PrefillShape shape, WorkCost cost) {
		this.shape = Preconditions.notNull(shape, "shape");
		this.cost = Preconditions.notNull(cost, "cost");
		this.estimate = new FirstEventEstimate(shape);
		this.bound = new TokenBound(shape.capacity(), shape.slots());
	}

	boolean isFor(PrefillShape other) {
		return this.shape.equals(other);
	}

	TokenBound bound() {
		return this.bound;
	}

	/**
	 * Records a request that has arrived, also one of unknown size.
	 * @param request the request
	 */
	void recordArrival(WaitingRequest request) {
		request.size().ifPresent((size) -> this.quantiles.record(size.promptTokens()));
		this.priority.recordArrival(request.priority());
	}

	/**
	 * Returns the share of the last requests with shorter prompts.
	 * @param size the size of a request
	 * @return the share, from 0 to 1
	 */
	double quantile(RequestSize size) {
		return this.quantiles.quantile(size.promptTokens(), this.shape.usualPrompt());
	}

	/**
	 * Selects a server.
	 * @param selector samples the servers
	 * @param free the servers with a free slot that the request may be sent to
	 * @param size the request's size
	 * @param othersPerSecond the requests per second that other entries send to all
	 * @param now the current time in nanoseconds
	 * @return a server, or empty if {@code free} is empty
	 */
	Optional<PoolServer> select(ServerSelector selector, List<PoolServer> free, RequestSize size,
			double othersPerSecond, long now) {
		return selector.selectByWork(free, othersPerSecond, (server) -> this.cost.nanos(server, size, now));
	}

	/**
	 * Records a request that this entry sends.
	 * @param server the server
	 * @param request the request's identifier
	 * @param size its size
	 * @param now the current time in nanoseconds
	 */
	void recordSent(PoolServer server, long request, RequestSize size, long now) {
		server.work().add(request, size, this.shape, this.estimate.tokensPerSecond(server), now);
	}

	/**
	 * Records requests that another entry has sent since its last news.
	 * @param server the server
	 * @param more the number of requests
	 * @param now the current time in nanoseconds
	 */
	void recordSentByOthers(PoolServer server, int more, long now) {
		if (more > 0) {
			server.work().addOthers(more, this.shape, this.estimate.tokensPerSecond(server), now);
		}
	}

	/**
	 * Records how a request was served.
	 * @param size its size
	 * @param nanos the time to its first event in nanoseconds
	 * @param objective the objective for that time in nanoseconds
	 * @return whether short prompts are admitted first from now on; empty if that has not
	 * changed
	 */
	Optional<Boolean> recordFirstEvent(RequestSize size, long nanos, long objective) {
		return this.priority.recordFirstEvent(quantile(size), nanos > objective);
	}

	/**
	 * Returns the priority of a request at the engine.
	 * @param size its size
	 * @param urgency the priority of its kind; 0 is the highest
	 * @return the priority; empty for the default
	 */
	OptionalInt enginePriority(RequestSize size, int urgency) {
		return this.priority.priority(quantile(size), urgency);
	}

}
