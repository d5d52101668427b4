package org.comfreywall.gateway.http;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongPredicate;

/**
 * The connections from callers of one entry. Makes some of them give way, as
 * {@link CallerPressure} decides, when there are too many or they hold too much. Not
 * thread-safe: used on one event loop only.
 */
final class CallerRegistry {

	/** Connections that are closed when the process has no descriptor left. */
	private static final int CLOSED_WITHOUT_DESCRIPTORS = 16;

	/**
	 * One of this many connections is closed at a time, so that a flood of new ones does
	 * not cost a search each.
	 */
	private static final int CONNECTIONS_PER_CLOSED = 100;

	/**
	 * Time until the connections are searched again after none could give way, so that
	 * many refusals do not cost a search each.
	 */
	private static final long SEARCH_INTERVAL_NANOS = Duration.ofMillis(10).toNanos();

	private final Set<CallerConnection> connections = new HashSet<>();

	private final CallerLimits limits;

	private final BodyBudget budget;

	private final RequestLog log;

	private final LongPredicate catchingUp;

	private boolean allOccupied;

	private long occupiedAt;

	private boolean searched;

	private long searchedAt;

	/**
	 * Creates a registry without connections.
	 * @param limits the limits on all connections together
	 * @param budget the memory that is held for them
	 * @param log receives what is decided
	 * @param catchingUp returns for the current time whether this process was paused
	 * until just now, so that callers look quiet that are not
	 */
	CallerRegistry(CallerLimits limits, BodyBudget budget, RequestLog log, LongPredicate catchingUp) {
		this.limits = limits;
		this.budget = budget;
		this.log = log;
		this.catchingUp = catchingUp;
	}

	int size() {
		return this.connections.size();
	}

	List<CallerConnection> connections() {
		return List.copyOf(this.connections);
	}

	/**
	 * Adds a new connection; others give way if there are too many.
	 * @param added the connection
	 * @return {@code false} if there is no place; the new connection must be closed
	 */
	boolean add(CallerConnection added) {
		if (this.connections.size() >= this.limits.maxConnections()) {
			closeSome(Math.max(1, this.limits.maxConnections() / CONNECTIONS_PER_CLOSED));
		}
		if (this.connections.size() >= this.limits.maxConnections()) {
			this.log.connectionRefused(this.connections.size());
			return false;
		}
		this.connections.add(added);
		return true;
	}

	void remove(CallerConnection removed) {
		this.connections.remove(removed);
	}

	private void closeSome(int count) {
		long now = System.nanoTime();
		if (this.allOccupied && now - this.occupiedAt < SEARCH_INTERVAL_NANOS) {
			return;
		}
		List<CallerConnection> chosen = CallerPressure.chooseForConnections(held(), count, now);
		this.allOccupied = chosen.isEmpty();
		this.occupiedAt = now;
		chosen.forEach((connection) -> close(connection, "connections"));
	}

	/**
	 * Closes idle connections as the process has no descriptor left.
	 */
	void releaseDescriptors() {
		closeSome(CLOSED_WITHOUT_DESCRIPTORS);
	}

	/**
	 * Frees memory for a request.
	 * @param needed the memory in bytes
	 * @return whether connections gave way that held that much
	 */
	boolean freeMemory(long needed) {
		long now = System.nanoTime();
		boolean searchedBefore = this.searched && now - this.searchedAt < SEARCH_INTERVAL_NANOS;
		if (searchedBefore || this.catchingUp.test(now)) {
			return false;
		}
		List<CallerConnection> chosen = CallerPressure.chooseForMemory(held(), needed, now);
		this.searched = chosen.isEmpty();
		this.searchedAt = now;
		for (CallerConnection connection : chosen) {
			this.log.gaveWay(connection.held(), "memory", this.connections.size(), this.budget.usedBytes());
			connection.releaseStalled();
		}
		return !chosen.isEmpty();
	}

	/**
	 * Called when more is held than callers may take, for instance because responses are
	 * not read.
	 */
	void relieve() {
		freeMemory(this.budget.excessBytes());
		while (this.budget.isCritical()) {
			Optional<CallerConnection> chosen = CallerPressure.chooseToSurvive(held());
			if (chosen.isEmpty()) {
				return;
			}
			close(chosen.get(), "survival");
		}
	}

	/**
	 * Closes connections whose callers read nothing of their responses, and updates what
	 * all hold.
	 */
	void check() {
		if (this.catchingUp.test(System.nanoTime())) {
			return;
		}
		connections().forEach(CallerConnection::check);
	}

	private void close(CallerConnection connection, String reason) {
		this.log.gaveWay(connection.held(), reason, this.connections.size(), this.budget.usedBytes());
		this.connections.remove(connection);
		connection.closeAndRelease();
	}

	private List<HeldConnection<CallerConnection>> held() {
		return this.connections.stream().map(CallerConnection::held).toList();
	}

}
