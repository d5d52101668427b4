package org.comfreywall.bench.mapswitch;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntPredicate;
import java.util.function.IntUnaryOperator;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.comfreywall.group.mapswitch.AgentSettings;
import org.comfreywall.group.mapswitch.CoordinatorSettings;

/**
 * Settings of a {@link SwitchWorld}.
 *
 * @param ranks the number of ranks
 * @param agent the settings of all agents
 * @param coordinator supplies the settings of each new coordinator
 * @param tickNanos time between ticks, in nanoseconds
 * @param loadNanos time an engine takes to load a map's weights, in nanoseconds
 * @param ahead by rank, the number of steps beyond the started one for which an engine
 * requests permission; 0 to request each step only after the previous one has completed
 * @param checksFencing by rank, whether an engine rejects commands with an outdated
 * fencing number
 * @param names supplies a unique number for the name of each new server
 */
record WorldSettings(int ranks, AgentSettings agent, Supplier<CoordinatorSettings> coordinator, long tickNanos,
		long loadNanos, IntUnaryOperator ahead, IntPredicate checksFencing, LongSupplier names) {

	static WorldSettings of(int ranks, AgentSettings agent, CoordinatorSettings coordinator, long loadNanos) {
		return new WorldSettings(ranks, agent, () -> coordinator, agent.retryNanos() / 2, loadNanos, (rank) -> 1,
				(rank) -> rank % 2 == 0, new AtomicLong()::incrementAndGet);
	}

}
