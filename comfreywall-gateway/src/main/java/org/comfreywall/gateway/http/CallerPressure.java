package org.comfreywall.gateway.http;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Decides which connections from callers give way when memory or descriptors run out.
 * <p>
 * Answers the load of callers that are each within the limits but hold what they have
 * opened: idle connections, incomplete headers and bodies, responses that are not read. A
 * request that is queued or was sent gives way only to save the process.
 */
final class CallerPressure {

	/**
	 * Time without a byte after which a body or an unread response counts as stalled
	 * while others need its memory. A lost packet is repeated earlier.
	 */
	static final Duration STALL = Duration.ofSeconds(1);

	private CallerPressure() {
	}

	/**
	 * Chooses the connections that new ones replace: stalled ones, first of all those
	 * without a request, otherwise those that have been idle for the longest time.
	 * @param <C> the type of the connections
	 * @param held all other connections
	 * @param count the most connections to choose
	 * @param now the current time in nanoseconds
	 * @return the connections, empty if all are occupied, so that the new one is closed
	 */
	static <C> List<C> chooseForConnections(Collection<HeldConnection<C>> held, int count, long now) {
		return held.stream()
			.filter((one) -> one.phase() != CallerPhase.PIPELINED_BODY)
			.filter((one) -> one.phase() == CallerPhase.IDLE || isStalled(one, now))
			.sorted(order(now))
			.limit(count)
			.map(HeldConnection::connection)
			.toList();
	}

	/**
	 * Chooses the connections whose memory is needed: idle and stalled ones.
	 * @param <C> the type of the connections
	 * @param held all connections
	 * @param needed the memory in bytes
	 * @param now the current time in nanoseconds
	 * @return the connections, empty if they do not hold enough together, so that the
	 * request that needs memory is refused
	 */
	static <C> List<C> chooseForMemory(Collection<HeldConnection<C>> held, long needed, long now) {
		List<HeldConnection<C>> stalled = held.stream()
			.filter((one) -> one.bytes() > 0 && isStalled(one, now))
			.sorted(order(now))
			.toList();
		List<C> chosen = new ArrayList<>();
		long freed = 0;
		for (HeldConnection<C> one : stalled) {
			if (freed >= needed) {
				break;
			}
			freed += one.bytes();
			chosen.add(one.connection());
		}
		return (freed >= needed) ? chosen : List.of();
	}

	/**
	 * Chooses the connection that is closed, whatever it is occupied with, because the
	 * process would otherwise run out of memory.
	 * @param <C> the type of the connections
	 * @param held all connections
	 * @return the one that holds most, or empty if none holds anything
	 */
	static <C> Optional<C> chooseToSurvive(Collection<HeldConnection<C>> held) {
		return held.stream()
			.filter((one) -> one.bytes() > 0)
			.max(Comparator.comparingLong(HeldConnection::bytes))
			.map(HeldConnection::connection);
	}

	private static boolean isStalled(HeldConnection<?> one, long now) {
		return one.phase() != CallerPhase.RUNNING && now - one.quietSince() >= STALL.toNanos();
	}

	private static Comparator<HeldConnection<?>> order(long now) {
		return Comparator.<HeldConnection<?>, Boolean>comparing((one) -> !isStalled(one, now))
			.thenComparing(HeldConnection::phase)
			.thenComparing((one) -> one.quietSince() - now);
	}

}
