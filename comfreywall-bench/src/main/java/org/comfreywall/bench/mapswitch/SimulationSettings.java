package org.comfreywall.bench.mapswitch;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntPredicate;
import java.util.function.IntUnaryOperator;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.comfreywall.group.mapswitch.AgentSettings;
import org.comfreywall.group.mapswitch.CoordinatorSettings;

/**
 * Settings of a {@link SwitchSimulation}.
 *
 * @param ranks the number of ranks
 * @param agentSettings the settings of all agents
 * @param coordinatorSettings supplies the settings of each new coordinator
 * @param tickNanos time between ticks, in nanoseconds
 * @param loadNanos time an engine takes to load a map's weights, in nanoseconds
 * @param stepsAhead by rank, the number of steps beyond the started one for which an
 * engine requests permission; 0 to request each step only after the previous one has
 * completed
 * @param checksFencing by rank, whether an engine rejects commands with an outdated
 * fencing number
 * @param serverNumbers supplies a unique number for the name of each new server
 */
record SimulationSettings(int ranks, AgentSettings agentSettings, Supplier<CoordinatorSettings> coordinatorSettings,
		long tickNanos, long loadNanos, IntUnaryOperator stepsAhead, IntPredicate checksFencing,
		LongSupplier serverNumbers) {

	static SimulationSettings of(int ranks, AgentSettings agent, CoordinatorSettings coordinator, long loadNanos) {
		return new SimulationSettings(ranks, agent, () -> coordinator, agent.retryNanos() / 2, loadNanos, (rank) -> 1,
				(rank) -> rank % 2 == 0, new AtomicLong()::incrementAndGet);
	}

}
