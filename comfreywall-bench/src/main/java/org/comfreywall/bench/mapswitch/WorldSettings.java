package org.comfreywall.bench.mapswitch;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntPredicate;
import java.util.function.IntUnaryOperator;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.comfreywall.group.mapswitch.AgentSettings;
import org.comfreywall.group.mapswitch.CoordinatorSettings;

/**
 * Settings of a group in virtual time.
 *
 * @param ranks the number of ranks
 * @param agent the agents' settings
 * @param coordinator gives each coordinator its settings
 * @param tickNanos time between ticks, in nanoseconds
 * @param loadNanos time an engine takes to load a map's weights, in nanoseconds
 * @param ahead how many steps ahead a rank's engine asks
 * @param checksFencing whether a rank's engine refuses old fencing numbers
 * @param names gives each server a new number
 */
record WorldSettings(int ranks, AgentSettings agent, Supplier<CoordinatorSettings> coordinator, long tickNanos,
		long loadNanos, IntUnaryOperator ahead, IntPredicate checksFencing, LongSupplier names) {

	static WorldSettings of(int ranks, AgentSettings agent, CoordinatorSettings coordinator, long loadNanos) {
		return new WorldSettings(ranks, agent, () -> coordinator, agent.retryNanos() / 2, loadNanos, (rank) -> 1,
				(rank) -> rank % 2 == 0, new AtomicLong()::incrementAndGet);
	}

}
