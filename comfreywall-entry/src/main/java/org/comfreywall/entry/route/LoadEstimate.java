package org.comfreywall.entry.route;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.id.AttemptId;

/**
 * The load of one backend server: its last report and what this entry did since it was
 * measured.
 */
final class LoadEstimate {

	/** Age at which a report's request counts are no longer used. */
	private static final long STALE_NANOS = 10_000_000_000L;

	private ServerProfile profile;

	private final Backlog backlog = new Backlog();

	private final Map<AttemptId, InFlight> unreported = new LinkedHashMap<>();

	private final Deque<Long> finishedSince = new ArrayDeque<>();

	private Optional<LoadReport> report = Optional.empty();

	private double tokensPerSecond;

	private long stepNanos;

	private double finishedPerSecond;

	private int inFlight;

	LoadEstimate(ServerProfile profile) {
		update(profile);
	}

	void update(ServerProfile next) {
		this.profile = next;
		refreshRates();
	}

	/**
	 * Takes in a report.
	 * @param next the report
	 * @return {@code false} if it is not newer than the last one
	 */
	boolean reported(LoadReport next) {
		if (this.report.isPresent() && next.sequence() <= this.report.get().sequence()) {
			return false;
		}
		this.report = Optional.of(next);
		refreshRates();
		this.unreported.values().removeIf((sent) -> sent.sentAt() <= next.measuredAt());
		this.finishedSince.removeIf((time) -> time <= next.measuredAt());
		this.backlog.reset(next.queuedTokens(), next.measuredAt());
		this.unreported.values().forEach(this::addToBacklog);
		return true;
	}

	void sent(InFlight sent) {
		this.inFlight++;
		this.unreported.put(sent.attempt(), sent);
		addToBacklog(sent);
	}

	/**
	 * Takes in the first token of an attempt: its prompt has been computed.
	 * @param sent the attempt
	 */
	void firstToken(InFlight sent) {
		this.unreported.computeIfPresent(sent.attempt(), (attempt, known) -> known.withPromptComputed());
	}

	/**
	 * Takes in the end of an attempt.
	 * @param sent the attempt
	 * @param now the present time in nanoseconds
	 */
	void ended(InFlight sent, long now) {
		this.inFlight--;
		if (this.unreported.remove(sent.attempt()) == null && this.report.isPresent()) {
			this.finishedSince.addLast(now);
		}
	}

	int inFlight() {
		return this.inFlight;
	}

	/**
	 * Estimates the requests on the server, running or waiting.
	 * @param now the present time in nanoseconds
	 * @return the number, at least 0
	 */
	int requests(long now) {
		if (this.report.isEmpty() || reportAge(now) > STALE_NANOS) {
			return this.inFlight;
		}
		int reported = this.report.get().running() + this.report.get().queued() - this.finishedSince.size();
		return Math.max(0, reported) + this.unreported.size();
	}

	double tokensAhead(PriorityClass priority, long now) {
		return this.backlog.ahead(priority, tokensPerSecond(), now);
	}

	double tokensPerSecond() {
		return this.tokensPerSecond;
	}

	long stepNanos() {
		return this.stepNanos;
	}

	/**
	 * Estimates the time until a slot is free for one more request.
	 * @param now the present time in nanoseconds
	 * @return the time in nanoseconds, 0 if a slot is free
	 */
	double slotWaitNanos(long now) {
		int excess = requests(now) + 1 - this.profile.slots();
		if (excess <= 0) {
			return 0;
		}
		return (this.finishedPerSecond > 0) ? excess * 1e9 / this.finishedPerSecond : (double) excess * this.stepNanos;
	}

	/**
	 * Returns the age of the last report.
	 * @param now the present time in nanoseconds
	 * @return the age in nanoseconds, -1 if there was none
	 */
	long reportAge(long now) {
		return this.report.isEmpty() ? -1 : Math.max(0, now - this.report.get().measuredAt());
	}

	private void refreshRates() {
		double rate = this.report.map(LoadReport::prefillTokensPerSecond).orElse(0.0);
		long step = this.report.map(LoadReport::stepNanos).orElse(0L);
		this.tokensPerSecond = (rate > 0) ? rate : this.profile.prefillTokensPerSecond();
		this.stepNanos = (step > 0) ? step : this.profile.stepTime().toNanos();
		this.finishedPerSecond = this.report.map(LoadReport::finishedPerSecond).orElse(0.0);
	}

	private void addToBacklog(InFlight sent) {
		this.backlog.add(sent.priority(), sent.uncachedTokens(), tokensPerSecond(), sent.sentAt());
	}

}
