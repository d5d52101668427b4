package org.comfreywall.entry.request;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.util.Preconditions;

/**
 * Lets requests with one fingerprint start one after the other until one of them has
 * finished, so that a request which crashes backend servers meets few of them before the
 * first crash is known.
 * <p>
 * Each fingerprint has one guard, on the entry to which it hashes. A first run holds back
 * others until it ends, at most for the flight time, so that the loss of an entry delays
 * nobody for long. Once a run has finished with a whole answer, any number may run. The
 * guard keeps no durable state; the ledger of poison requests has the last word. Not
 * thread-safe.
 */
public final class FlightGuard {

	private final FlightGuardSettings settings;

	/** Fingerprints in the order of their last change; at most the capacity. */
	private final Map<Fingerprint, Flight> flights = new LinkedHashMap<>();

	/**
	 * Creates a guard that knows no fingerprint.
	 * @param settings the bounds
	 */
	public FlightGuard(FlightGuardSettings settings) {
		this.settings = Preconditions.notNull(settings, "settings");
	}

	/**
	 * Asks whether a request may run.
	 * @param fingerprint the fingerprint of the request
	 * @param request the request
	 * @param now the time in nanoseconds
	 * @return the answer
	 */
	public FlightPermit ask(Fingerprint fingerprint, RequestId request, long now) {
		Preconditions.notNull(request, "request");
		expire(now);
		Flight flight = this.flights.get(Preconditions.notNull(fingerprint, "fingerprint"));
		if (flight == null || flight.isOver(now, this.settings.flightTime().toNanos())) {
			put(fingerprint, new Flight(FlightState.FIRST_RUN, request, now));
			return FlightPermit.GO;
		}
		return flight.permit(request);
	}

	/**
	 * Tells how a run ended.
	 * @param fingerprint the fingerprint of the request
	 * @param request the request
	 * @param end how the run ended
	 * @param now the time in nanoseconds
	 */
	public void end(Fingerprint fingerprint, RequestId request, FlightEnd end, long now) {
		Preconditions.notNull(end, "end");
		expire(now);
		Flight flight = this.flights.get(Preconditions.notNull(fingerprint, "fingerprint"));
		if (end == FlightEnd.LOST) {
			put(fingerprint, new Flight(FlightState.LOST, request, now));
		}
		else if (end == FlightEnd.SURVIVED && (flight == null || flight.state() != FlightState.LOST)) {
			put(fingerprint, new Flight(FlightState.SURVIVED, request, now));
		}
		else if (flight != null && flight.state() == FlightState.FIRST_RUN && flight.request().equals(request)) {
			this.flights.remove(fingerprint);
		}
	}

	/**
	 * Returns the number of fingerprints remembered.
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
		long bound = now - this.settings.memoryTime().toNanos();
		Iterator<Flight> oldest = this.flights.values().iterator();
		while (oldest.hasNext() && oldest.next().changedAt() <= bound) {
			oldest.remove();
		}
	}

	private enum FlightState {

		FIRST_RUN, SURVIVED, LOST

	}

	private record Flight(FlightState state, RequestId request, long changedAt) {

		boolean isOver(long now, long flightNanos) {
			return this.state == FlightState.FIRST_RUN && now - this.changedAt >= flightNanos;
		}

		FlightPermit permit(RequestId asking) {
			if (this.state == FlightState.LOST) {
				return FlightPermit.SUSPECT;
			}
			boolean allowed = this.state == FlightState.SURVIVED || this.request.equals(asking);
			return allowed ? FlightPermit.GO : FlightPermit.WAIT;
		}

	}

}
