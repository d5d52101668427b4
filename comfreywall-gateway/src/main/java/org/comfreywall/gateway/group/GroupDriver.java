package org.comfreywall.gateway.group;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Function;

import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.gateway.config.EngineShape;

/**
 * Runs the coordinators of all groups while this process is the leader, and the deputies
 * of switches that another leader delegated to it. Not thread-safe: used on one thread.
 */
public final class GroupDriver {

	private final Executor executor;

	private final EnginePort engines;

	private final DeputyPort deputyPort;

	private final Function<String, Optional<HostPort>> addresses;

	private final Map<String, RebalanceCoordinator> coordinators = new HashMap<>();

	private final Map<String, DelegatedSwitch> delegatedSwitches = new HashMap<>();

	private final Map<String, SwitchDeputy> deputies = new HashMap<>();

	private volatile boolean hasDeputies;

	private long term = -1;

	/**
	 * Creates a driver.
	 * @param executor the single thread that all callbacks run on
	 * @param engines sends orders to engines
	 * @param deputyPort sends switches to the processes that complete them if this one
	 * fails
	 * @param addresses returns the address of a backend server, or empty if it is unknown
	 */
	public GroupDriver(Executor executor, EnginePort engines, DeputyPort deputyPort,
			Function<String, Optional<HostPort>> addresses) {
		this.executor = Preconditions.notNull(executor, "executor");
		this.engines = Preconditions.notNull(engines, "engines");
		this.deputyPort = Preconditions.notNull(deputyPort, "deputyPort");
		this.addresses = Preconditions.notNull(addresses, "addresses");
	}

	/**
	 * Receives a rank's report.
	 * @param service the service that the rank belongs to
	 * @param shape the shape of the service's engines
	 * @param report the report
	 * @param choiceCounts how often its requests chose each expert since its previous
	 * counts, set by set; empty if unknown
	 */
	public void onRankReport(String service, EngineShape shape, RankReport report, List<Integer> choiceCounts) {
		this.coordinators.computeIfAbsent(service + "/" + report.group(), (key) -> new RebalanceCoordinator(shape))
			.addReport(report, choiceCounts, System.nanoTime());
	}

	/**
	 * Receives a switch that the leader delegates to this process.
	 * @param delegatedSwitch the switch
	 * @param timeout the time after which this process takes the switch over if it has
	 * not ended
	 */
	public void onSwitchDelegated(DelegatedSwitch delegatedSwitch, Duration timeout) {
		this.deputies.put(delegatedSwitch.group(),
				new SwitchDeputy(delegatedSwitch, timeout.toNanos(), System.nanoTime()));
		this.hasDeputies = true;
	}

	/**
	 * Receives the notice that the leader has completed or cancelled a switch, and drops
	 * its deputy.
	 * @param ended the switch
	 */
	public void onSwitchEnded(DelegatedSwitch ended) {
		this.deputies.computeIfPresent(ended.group(),
				(group, deputy) -> deputy.delegatedSwitch().equals(ended) ? null : deputy);
	}

	/**
	 * Sends the due orders of all coordinators. Coordinators of an earlier term are
	 * dropped.
	 * @param currentTerm the term in which this process is the leader
	 */
	public void tick(long currentTerm) {
		if (currentTerm != this.term) {
			this.coordinators.clear();
			this.delegatedSwitches.clear();
			this.term = currentTerm;
		}
		List.copyOf(this.coordinators.keySet()).forEach(this::sendDueOrders);
	}

	/**
	 * Returns whether {@link #tickDeputies} has anything to do. Thread-safe.
	 * @return {@code true} while a switch is delegated to this process
	 */
	public boolean hasDeputies() {
		return this.hasDeputies;
	}

	/**
	 * Sends the due orders of the deputies, and drops deputies that are done.
	 */
	public void tickDeputies() {
		long now = System.nanoTime();
		this.deputies.values().removeIf((deputy) -> deputy.isDone(now));
		this.hasDeputies = !this.deputies.isEmpty();
		List.copyOf(this.deputies.values()).forEach(this::sendDueOrders);
	}

	private void sendDueOrders(String group) {
		RebalanceCoordinator coordinator = this.coordinators.get(group);
		coordinator.tick(this.term, System.nanoTime())
			.forEach((order) -> send(order, (answer) -> onAnswer(group, coordinator, order, answer)));
		updateDeputies(group, coordinator);
	}

	// Sends the next orders at once instead of with the next tick, as a held pass
	// delays requests.
	private void onAnswer(String group, RebalanceCoordinator coordinator, RankOrder order, OrderAnswer answer) {
		coordinator.handleAnswer(order, answer, System.nanoTime());
		if (answer == OrderAnswer.TAKEN && this.coordinators.get(group) == coordinator) {
			sendDueOrders(group);
		}
	}

	// Delegates a new switch to the deputies, or notifies them that the last one ended.
	private void updateDeputies(String group, RebalanceCoordinator coordinator) {
		Optional<DelegatedSwitch> current = coordinator.delegatedSwitch(group);
		DelegatedSwitch before = this.delegatedSwitches.get(group);
		if (current.isPresent() && !current.get().equals(before)) {
			this.delegatedSwitches.put(group, current.get());
			this.deputyPort.delegate(current.get())
				.thenRunAsync(() -> onDelegationConfirmed(group, coordinator, current.get()), this.executor);
		}
		else if (current.isEmpty() && before != null) {
			this.delegatedSwitches.remove(group);
			this.deputyPort.notifyEnded(before);
		}
	}

	// Sends the hold order at once instead of with the next tick.
	private void onDelegationConfirmed(String group, RebalanceCoordinator coordinator, DelegatedSwitch confirmed) {
		coordinator.handleDelegationConfirmed(confirmed, System.nanoTime());
		if (this.coordinators.get(group) == coordinator) {
			sendDueOrders(group);
		}
	}

	private void sendDueOrders(SwitchDeputy deputy) {
		deputy.tick(System.nanoTime()).forEach((order) -> send(order, (answer) -> {
			deputy.handleAnswer(order, answer);
			if (answer == OrderAnswer.TAKEN) {
				sendDueOrders(deputy);
			}
		}));
	}

	private void send(RankOrder order, Consumer<OrderAnswer> onAnswer) {
		this.addresses.apply(order.server())
			.ifPresent((address) -> this.engines.send(order.server(), address, order.order())
				.thenAcceptAsync(onAnswer, this.executor));
	}

}
