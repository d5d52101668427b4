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

	private static final int MAX_SENT_TO_LEDGER = 1_000;

	private final FlightGuardSettings settings;

	/** Fingerprints in the order of their last change; at most the capacity. */
	private final Map<Fingerprint, Flight> flights = new LinkedHashMap<>();

	private final long startedAt;

	/**
	 * Creates a guard that knows no fingerprint.
	 * <p>
	 * For the flight time after its start it sends requests with unknown fingerprints to
	 * the ledger of poison requests, because a former guard may have known a loss.
	 * @param settings the bounds
	 * @param now the time in nanoseconds
	 */
	public FlightGuard(FlightGuardSettings settings, long now) {
		this.settings = Preconditions.notNull(settings, "settings");
		this.startedAt = now;
	}

	/**
	 * Asks whether a request may run.
	 * @param fingerprint the fingerprint of the request
	 * @param request the request
	 * @param cleared whether the ledger of poison requests has just answered that the
	 * fingerprint is not suspected, which makes the guard forget a loss
	 * @param now the time in nanoseconds
	 * @return the answer
	 */
	public FlightPermit ask(Fingerprint fingerprint, RequestId request, boolean cleared, long now) {
		Preconditions.notNull(request, "request");
		expire(now);
		Flight flight = this.flights.get(Preconditions.notNull(fingerprint, "fingerprint"));
		boolean starting = now - this.startedAt < this.settings.flightTime().toNanos();
		if (flight == null && starting && !cleared) {
			return FlightPermit.SUSPECT;
		}
		boolean forgiven = cleared && flight != null && flight.state() == FlightState.LOST
				&& flight.sentToLedger().contains(request);
		if (flight == null || forgiven || flight.isOver(now, this.settings.flightTime().toNanos())) {
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

	/**
	 * What is known about one fingerprint.
	 *
	 * @param state how the last run ended, or that it lasts
	 * @param request the request of the last run
	 * @param changedAt the time of the last change in nanoseconds
	 * @param sentToLedger the requests sent to the ledger after a loss; an answer that a
	 * request had asked for before the loss says nothing about it
	 */
	private record Flight(FlightState state, RequestId request, long changedAt, Set<RequestId> sentToLedger) {

		Flight(FlightState state, RequestId request, long changedAt) {
			this(state, request, changedAt, new HashSet<>());
		}

		boolean isOver(long now, long flightNanos) {
			return this.state == FlightState.FIRST_RUN && now - this.changedAt >= flightNanos;
		}

		FlightPermit permit(RequestId asking) {
			if (this.state == FlightState.LOST) {
				if (this.sentToLedger.size() < MAX_SENT_TO_LEDGER) {
					this.sentToLedger.add(asking);
				}
				return FlightPermit.SUSPECT;
			}
			boolean allowed = this.state == FlightState.SURVIVED || this.request.equals(asking);
			return allowed ? FlightPermit.GO : FlightPermit.WAIT;
		}

	}

}
