package org.comfreywall.gateway.pool;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.gateway.config.PrefillShape;

/**
 * Estimates the time to the first event of a request on a server: the steps in which the
 * prompts ahead and its own are read beside the requests in decode. What the server still
 * owes to others is added: all ranks of a group make each pass together, so a request is
 * best sent to the rank that will have the fewest in decode. It addresses long prompts
 * that delay short ones on the same server.
 */
final class FirstEventEstimate implements WorkCost {

	private final PrefillShape shape;

	FirstEventEstimate(PrefillShape shape) {
		this.shape = Preconditions.notNull(shape, "shape");
	}

	@Override
	public double nanos(PoolServer server, RequestSize size, long now) {
		double ahead = server.work().tokensAhead(tokensPerSecond(server), now);
		double steps = Math.max(1, (ahead + size.promptTokens()) / this.shape.chunk());
		return steps * stepNanos(server) + eventsOwed(server) * this.shape.stepPerRequest().toNanos();
	}

	// Requests of other entries have received half of their events on average.
	private double eventsOwed(PoolServer server) {
		int others = server.totalInFlight() - server.inFlight();
		return server.work().eventsOwed() + others * this.shape.events(this.shape.usualAnswer()) / 2.0;
	}

	/**
	 * Returns the rate at which a server reads prompts beside its requests in decode.
	 * @param server the server
	 * @return the tokens per second
	 */
	double tokensPerSecond(PoolServer server) {
		return this.shape.chunk() / stepNanos(server) * 1e9;
	}

	// Some rank of a group reads a chunk in almost every step, which lengthens the steps
	// of all.
	private double stepNanos(PoolServer server) {
		return this.shape.stepNanos(server.totalInFlight(), this.shape.usualPrompt())
				+ this.shape.readNanos(this.shape.chunk(), 0);
	}

}
