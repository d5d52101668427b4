package org.comfreywall.entry.route;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.load.PromptBacklog;

/**
 * Estimates the load of one backend server from its last report and the attempts that
 * this entry sent or finished after the report was measured.
 */
final class LoadEstimate {

	/** Age above which the request counts of a report are ignored. */
	private static final long STALE_NANOS = 10_000_000_000L;

	private static final PriorityClass[] PRIORITIES = PriorityClass.values();

	private ServerProfile profile;

	private final PromptBacklog backlog = new PromptBacklog(PRIORITIES.length);

	private final Map<AttemptId, InFlightAttempt> unreportedAttempts = new LinkedHashMap<>();

	private final Deque<Long> finishedSinceReport = new ArrayDeque<>();

	private Optional<LoadReport> report = Optional.empty();

	private double tokensPerSecond;

	private long stepNanos;

	private double finishedPerSecond;

	private int inFlight;

	LoadEstimate(ServerProfile profile) {
		updateProfile(profile);
	}

	void updateProfile(ServerProfile next) {
		this.profile = next;
		refreshRates();
	}

	/**
	 * Replaces the last report. Attempts sent up to its measurement are from now on
	 * counted by the report alone.
	 * @param next the report
	 * @return {@code false} if its sequence number is not above that of the last report
	 */
	boolean applyReport(LoadReport next) {
		if (this.report.isPresent() && next.sequence() <= this.report.get().sequence()) {
			return false;
		}
		this.report = Optional.of(next);
		refreshRates();
		this.unreportedAttempts.values().removeIf((attempt) -> attempt.sentAt() <= next.measuredAt());
		this.finishedSinceReport.removeIf((time) -> time <= next.measuredAt());
		this.backlog.reset((level) -> next.queuedTokens().tokensAhead(PRIORITIES[level]), next.measuredAt());
		this.unreportedAttempts.values().forEach(this::addToBacklog);
		return true;
	}

	void addAttempt(InFlightAttempt attempt) {
		this.inFlight++;
		this.unreportedAttempts.put(attempt.attempt(), attempt);
		addToBacklog(attempt);
	}

	/**
	 * Records that the prompt of an attempt has been computed, so that its tokens are not
	 * added to the backlog again when the next report resets it.
	 * @param attempt the attempt
	 */
	void markPromptComputed(InFlightAttempt attempt) {
		this.unreportedAttempts.computeIfPresent(attempt.attempt(), (id, present) -> present.withPromptComputed());
	}

	/**
	 * Records the end of an attempt. If the last report counts the attempt, it is
	 * subtracted from the reported requests until the next report.
	 * @param attempt the attempt
	 * @param now the present time in nanoseconds
	 */
	void removeAttempt(InFlightAttempt attempt, long now) {
		this.inFlight--;
		if (this.unreportedAttempts.remove(attempt.attempt()) == null && this.report.isPresent()) {
			this.finishedSinceReport.addLast(now);
		}
	}

	int inFlight() {
		return this.inFlight;
	}

	/**
	 * Estimates the number of running and queued requests on the server.
	 * @param now the present time in nanoseconds
	 * @return the number, at least 0
	 */
	int estimateRequests(long now) {
		if (this.report.isEmpty() || reportAge(now) > STALE_NANOS) {
			return this.inFlight;
		}
		int reported = this.report.get().running() + this.report.get().queued() - this.finishedSinceReport.size();
		return Math.max(0, reported) + this.unreportedAttempts.size();
	}

	double tokensAhead(PriorityClass priority, long now) {
		return this.backlog.tokensAhead(priority.ordinal(), tokensPerSecond(), now);
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
		int excess = estimateRequests(now) + 1 - this.profile.slots();
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

	private void addToBacklog(InFlightAttempt attempt) {
		this.backlog.add(attempt.priority().ordinal(), attempt.uncachedTokens(), tokensPerSecond(), attempt.sentAt());
	}

}
