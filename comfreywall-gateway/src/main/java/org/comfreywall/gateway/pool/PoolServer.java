package org.comfreywall.gateway.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * State that one entry keeps for a backend server: the latest announcement, the requests
 * in flight, moving averages of latency and error rate, and ejection.
 */
public final class PoolServer {

	/** Weight of a new latency sample; averages over about the last 10 requests. */
	private static final double LATENCY_SMOOTHING = 0.2;

	/** Weight of a new success or failure; averages over about the last 8 requests. */
	private static final double ERROR_SMOOTHING = 0.12;

	/**
	 * Consecutive connection failures after which the server is ejected for a while. The
	 * time doubles with each further failure, up to a maximum.
	 */
	private static final int FAILURES_TO_EJECT = 2;

	private static final long FIRST_EJECTION_NANOS = 500_000_000L;

	private static final long MAX_EJECTION_NANOS = 4_000_000_000L;

	/**
	 * Time for which a server that rejected a request gets none; a full server frees a
	 * slot after about one forward pass of its engine.
	 */
	private static final long REJECTION_PAUSE_NANOS = 100_000_000L;

	private ServerAnnouncement announcement;

	private int inFlight;

	private final Map<String, Integer> inFlightByEntry = new HashMap<>();

	private int inFlightOfOtherEntries;

	private double latencyNanos;

	private double errorRate;

	private double slowdown = 1;

	private int connectionFailures;

	private long pausedUntil;

	private boolean leaving;

	private boolean evacuated;

	private Optional<ServerRest> rest = Optional.empty();

	private final ServerWarmUp warmUp;

	private ServerGroup group;

	private final ServerWork work = new ServerWork();

	PoolServer(ServerAnnouncement announcement, long now) {
		this.announcement = announcement;
		this.warmUp = new ServerWarmUp(announcement.server(), now);
		this.pausedUntil = now;
	}

	/**
	 * Returns the latest announcement.
	 * @return the announcement
	 */
	public ServerAnnouncement announcement() {
		return this.announcement;
	}

	/**
	 * Returns the name of the group of ranks that the server belongs to.
	 * @return the name; empty if it is not known
	 */
	public String groupName() {
		return this.group.name();
	}

	ServerGroup group() {
		return this.group;
	}

	void assign(ServerGroup newGroup) {
		this.group = newGroup;
	}

	/**
	 * Returns the number of requests in flight on the server.
	 * @return this entry's count plus the counts last received from other entries, which
	 * may be out of date
	 */
	public int totalInFlight() {
		return this.inFlight + this.inFlightOfOtherEntries;
	}

	/**
	 * Returns the number of requests that this entry has in flight on the server.
	 * @return the count
	 */
	public int inFlight() {
		return this.inFlight;
	}

	ServerWarmUp warmUp() {
		return this.warmUp;
	}

	void updateAnnouncement(ServerAnnouncement newer) {
		this.announcement = newer;
	}

	/**
	 * Replaces the number of requests that another entry has in flight.
	 * @param entry the entry's identifier
	 * @param requests the number
	 * @return by how much the number has increased; 0 if it has not
	 */
	int updateInFlight(String entry, int requests) {
		int before = this.inFlightByEntry.getOrDefault(entry, 0);
		this.inFlightByEntry.put(entry, requests);
		this.inFlightOfOtherEntries += requests - before;
		return Math.max(0, requests - before);
	}

	ServerWork work() {
		return this.work;
	}

	void recordSent() {
		this.inFlight++;
	}

	void recordResult(AttemptResult result, long nanos, long now) {
		this.inFlight--;
		switch (result) {
			case ANSWERED -> recordResponse(nanos, 0);
			case FAILED -> recordResponse(nanos, 1);
			case BROKEN -> recordConnectionFailure(now);
			case REJECTED -> recordRejection(now);
			case CANCELLED -> {
			}
		}
	}

	private void recordRejection(long now) {
		this.pausedUntil = now + REJECTION_PAUSE_NANOS;
	}

	private void recordResponse(long nanos, double failed) {
		this.connectionFailures = 0;
		this.errorRate += ERROR_SMOOTHING * (failed - this.errorRate);
		this.latencyNanos = (this.latencyNanos == 0) ? nanos
				: this.latencyNanos + LATENCY_SMOOTHING * (nanos - this.latencyNanos);
	}

	private void recordConnectionFailure(long now) {
		this.connectionFailures++;
		this.errorRate += ERROR_SMOOTHING * (1 - this.errorRate);
		if (this.connectionFailures >= FAILURES_TO_EJECT) {
			long pause = FIRST_EJECTION_NANOS << Math.min(this.connectionFailures - FAILURES_TO_EJECT, 3);
			this.pausedUntil = now + Math.min(pause, MAX_EJECTION_NANOS);
		}
	}

	boolean isPaused(long now) {
		return now < this.pausedUntil;
	}

	void recordRest(ServerRest newer) {
		this.rest = Optional.of(newer);
	}

	boolean isResting(long now) {
		return this.rest.filter((present) -> !present.isOver(now)).isPresent();
	}

	/**
	 * Returns when the server gets requests again.
	 * @return the end of its pause and rest, in nanoseconds; may have passed
	 */
	long usableAt() {
		return Math.max(this.pausedUntil, this.rest.map(ServerRest::resumesAt).orElse(this.pausedUntil));
	}

	/**
	 * Records that the server said in a response that it leaves. No announcement of this
	 * incarnation makes it accept requests again.
	 */
	void recordLeaving() {
		this.leaving = true;
	}

	/**
	 * Sets whether the server's failure domain is evacuated.
	 * @param newEvacuated {@code true} if the server must not get requests
	 */
	void updateEvacuated(boolean newEvacuated) {
		this.evacuated = newEvacuated;
	}

	boolean acceptsRequests() {
		return !this.evacuated && isServing();
	}

	/**
	 * Returns whether only an evacuation keeps requests away from the server.
	 * @return {@code true} if the server would accept requests otherwise
	 */
	boolean isOnlyEvacuated() {
		return this.evacuated && isServing();
	}

	private boolean isServing() {
		return !this.leaving && this.announcement.state() == ServerState.READY;
	}

	boolean isUsable(long now) {
		return acceptsRequests() && !isPaused(now) && !isResting(now);
	}

	int freeSlots(long now) {
		int slots = this.announcement.slots();
		int allowed = this.rest.map((present) -> present.maxInFlight(slots, now)).orElse(slots);
		return Math.max(0, Math.min(slots - totalInFlight(), allowed - this.inFlight));
	}

	double latencyNanos() {
		return this.latencyNanos;
	}

	void updateSlowdown(double newSlowdown) {
		this.slowdown = Math.max(1, newSlowdown);
	}

	double slowdown() {
		return this.slowdown;
	}

	double errorRate() {
		return this.errorRate;
	}

}
