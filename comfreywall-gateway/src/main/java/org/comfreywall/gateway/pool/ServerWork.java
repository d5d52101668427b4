package org.comfreywall.gateway.pool;

import java.util.HashMap;
import java.util.Map;

import org.comfreywall.common.load.PromptBacklog;
import org.comfreywall.gateway.config.PrefillShape;

/**
 * Estimates the work in flight on one backend server: prompt tokens still to be read,
 * tokens held and events still owed. It addresses long prompts that delay the first
 * events of short ones, which a count of requests does not show.
 * <p>
 * The work of this entry is known from its requests. Of other entries only the number of
 * requests in flight is known, five times a second: each one more is taken for a usual
 * prompt.
 */
final class ServerWork {

	/** The engine reads prompts in the order of their arrival. */
	private static final int LEVELS = 1;

	private final Map<Long, RequestWork> requests = new HashMap<>();

	private final PromptBacklog backlog = new PromptBacklog(LEVELS);

	/** The part of the backlog that other entries are assumed to have sent. */
	private final PromptBacklog othersBacklog = new PromptBacklog(LEVELS);

	private long unreadTokens;

	private long heldTokens;

	private long eventsOwed;

	/**
	 * Adds a request that this entry sends.
	 * @param request the request's identifier at this entry
	 * @param size its size
	 * @param shape the engine's speed
	 * @param tokensPerSecond the rate at which the server reads prompts beside its
	 * requests in decode
	 * @param now the current time in nanoseconds
	 */
	void add(long request, RequestSize size, PrefillShape shape, double tokensPerSecond, long now) {
		RequestWork added = new RequestWork(size, shape.events(size.expectedOutputTokens(shape.usualAnswer())));
		this.requests.put(request, added);
		this.backlog.add(0, size.promptTokens(), tokensPerSecond, now);
		this.unreadTokens += size.promptTokens();
		this.heldTokens += size.tokens();
		this.eventsOwed += added.eventsOwed;
	}

	/**
	 * Records requests of another entry that are in flight since its last news.
	 * @param more the number of requests
	 * @param shape the engine's speed
	 * @param tokensPerSecond the rate at which the server reads prompts
	 * @param now the current time in nanoseconds
	 */
	void addOthers(int more, PrefillShape shape, double tokensPerSecond, long now) {
		double tokens = (double) more * shape.usualPrompt();
		this.backlog.add(0, tokens, tokensPerSecond, now);
		this.othersBacklog.add(0, tokens, tokensPerSecond, now);
	}

	/**
	 * Records an event of a request. The first one shows that its prompt has been read.
	 * @param request the request's identifier
	 */
	void recordEvent(long request) {
		RequestWork work = this.requests.get(request);
		if (work != null) {
			markRead(work);
			this.eventsOwed -= (work.eventsOwed > 0) ? 1 : 0;
			work.eventsOwed = Math.max(0, work.eventsOwed - 1);
		}
	}

	/**
	 * Removes a request that has ended.
	 * @param request the request's identifier
	 */
	void remove(long request) {
		RequestWork work = this.requests.remove(request);
		if (work != null) {
			markRead(work);
			this.heldTokens -= work.size.tokens();
			this.eventsOwed -= work.eventsOwed;
		}
	}

	private void markRead(RequestWork work) {
		if (!work.read) {
			work.read = true;
			this.unreadTokens -= work.size.promptTokens();
		}
	}

	/**
	 * Estimates the prompt tokens that the server reads before a new prompt.
	 * @param tokensPerSecond the rate at which the server reads prompts
	 * @param now the current time in nanoseconds
	 * @return the tokens
	 */
	double tokensAhead(double tokensPerSecond, long now) {
		double known = this.unreadTokens + this.othersBacklog.tokensAhead(0, tokensPerSecond, now);
		return Math.min(known, this.backlog.tokensAhead(0, tokensPerSecond, now));
	}

	/**
	 * Returns the tokens held for requests of this entry.
	 * @return prompt tokens and the most output tokens
	 */
	long heldTokens() {
		return this.heldTokens;
	}

	/**
	 * Returns the tokens held for requests of this entry beyond a base for each.
	 * @param base the tokens of a request that do not count
	 * @return the sum of what exceeds them
	 */
	long heldBeyond(long base) {
		return this.requests.values().stream().mapToLong((work) -> Math.max(0, work.size.tokens() - base)).sum();
	}

	/**
	 * Returns the events that the server still owes to requests of this entry.
	 * @return the expected number
	 */
	long eventsOwed() {
		return this.eventsOwed;
	}

	private static final class RequestWork {

		private final RequestSize size;

		private int eventsOwed;

		private boolean read;

		private RequestWork(RequestSize size, int eventsOwed) {
			this.size = size;
			this.eventsOwed = eventsOwed;
		}

	}

}
