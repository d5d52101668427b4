package org.comfreywall.entry.request;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.util.Preconditions;

/**
 * Serializes the runs of requests with the same fingerprint until one of them has
 * completed (single flight), so that a request which crashes backend servers reaches few
 * of them before the first crash is recorded.
 * <p>
 * Each fingerprint has one guard, on the instance that its hash selects. A first run
 * blocks other requests until it ends, but no longer than the flight time, which bounds
 * the delay if the entry that started the run fails. Once a run has completed with a
 * whole answer, any number of requests may run. The guard keeps its state in memory only;
 * the ledger of poison requests is authoritative. Not thread-safe.
 */
public final class SingleFlightGuard {

	private static final int MAX_SENT_TO_LEDGER = 1_000;

	private final SingleFlightGuardSettings settings;

	/** State by fingerprint, least recently changed first; bounded by the capacity. */
	private final Map<Fingerprint, Flight> flights = new LinkedHashMap<>();

	private final long startedAt;

	/**
	 * Creates a guard without cached fingerprints.
	 * <p>
	 * During the flight time after its start, the guard refers requests with unknown
	 * fingerprints to the ledger of poison requests: the instance that guarded them
	 * before may have received the report of a crash that is not in this guard's memory.
	 * @param settings the timeouts and the capacity
	 * @param now the time in nanoseconds
	 */
	public SingleFlightGuard(SingleFlightGuardSettings settings, long now) {
		this.settings = Preconditions.notNull(settings, "settings");
		this.startedAt = now;
	}

	/**
	 * Decides whether a request may run.
	 * @param fingerprint the fingerprint of the request
	 * @param request the request
	 * @param cleared whether the ledger of poison requests has just reported that the
	 * fingerprint is not suspected, which clears a recorded crash if the request was
	 * referred to the ledger after that crash
	 * @param now the time in nanoseconds
	 * @return the permit
	 */
	public FlightPermit requestPermit(Fingerprint fingerprint, RequestId request, boolean cleared, long now) {
		Preconditions.notNull(request, "request");
		expire(now);
		Flight flight = this.flights.get(Preconditions.notNull(fingerprint, "fingerprint"));
		boolean inStartupPeriod = now - this.startedAt < this.settings.flightTime().toNanos();
		if (flight == null && inStartupPeriod && !cleared) {
			return FlightPermit.SUSPECT;
		}
		boolean crashCleared = cleared && flight != null && flight.state() == FlightState.LOST
				&& flight.sentToLedger().contains(request);
		if (flight == null || crashCleared || flight.isOver(now, this.settings.flightTime().toNanos())) {
			put(fingerprint, new Flight(FlightState.FIRST_RUN, request, now));
			return FlightPermit.GO;
		}
		return flight.permit(request);
	}

	/**
	 * Records how a run ended.
	 * @param fingerprint the fingerprint of the request
	 * @param request the request
	 * @param flightEnd how the run ended
	 * @param now the time in nanoseconds
	 */
	public void recordEnd(Fingerprint fingerprint, RequestId request, FlightEnd flightEnd, long now) {
		Preconditions.notNull(flightEnd, "flightEnd");
		expire(now);
		Flight flight = this.flights.get(Preconditions.notNull(fingerprint, "fingerprint"));
		if (flightEnd == FlightEnd.LOST) {
			put(fingerprint, new Flight(FlightState.LOST, request, now));
		}
		else if (flightEnd == FlightEnd.SURVIVED && (flight == null || flight.state() != FlightState.LOST)) {
			put(fingerprint, new Flight(FlightState.SURVIVED, request, now));
		}
		else if (flight != null && flight.state() == FlightState.FIRST_RUN && flight.request().equals(request)) {
			this.flights.remove(fingerprint);
		}
	}

	/**
	 * Returns the number of cached fingerprints.
	 * @return the count
	 */
	public int size() {
		return this.flights.size();
	}

	private void put(Fingerprint fingerprint, Flight flight) {
		this.flights.remove(fingerprint);
		this.flights.put(fingerprint, flight);
		if (this.flights.size() > this.settings.capacity()) {
			this.flights.remove(this.flights.keySet().iterator().next());
		}
	}

	private void expire(long now) {
		long expiredBefore = now - this.settings.memoryTime().toNanos();
		Iterator<Flight> oldest = this.flights.values().iterator();
		while (oldest.hasNext() && oldest.next().changedAt() <= expiredBefore) {
			oldest.remove();
		}
	}

	private enum FlightState {

		FIRST_RUN, SURVIVED, LOST

	}

	/**
	 * The state of one fingerprint.
	 *
	 * @param state the result of the last run, or {@link FlightState#FIRST_RUN} while it
	 * is in progress
	 * @param request the request of the last run
	 * @param changedAt the time of the last change in nanoseconds
	 * @param sentToLedger the requests referred to the ledger since the last crash; a
	 * request that queried the ledger before the crash may carry an outdated result and
	 * cannot clear it
	 */
	private record Flight(FlightState state, RequestId request, long changedAt, Set<RequestId> sentToLedger) {

		Flight(FlightState state, RequestId request, long changedAt) {
			this(state, request, changedAt, new HashSet<>());
		}

		boolean isOver(long now, long flightNanos) {
			return this.state == FlightState.FIRST_RUN && now - this.changedAt >= flightNanos;
		}

		FlightPermit permit(RequestId candidate) {
			if (this.state == FlightState.LOST) {
				if (this.sentToLedger.size() < MAX_SENT_TO_LEDGER) {
					this.sentToLedger.add(candidate);
				}
				return FlightPermit.SUSPECT;
			}
			boolean allowed = this.state == FlightState.SURVIVED || this.request.equals(candidate);
			return allowed ? FlightPermit.GO : FlightPermit.WAIT;
		}

	}

}
