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
 * Runs the coordinators of all groups on the leader, and the deputies for switches that
 * another leader delegated to this process. Not thread-safe: used on one thread.
 */
public final class GroupDriver {

	private final Executor executor;

	private final EnginePort engines;

	private final DeputyPort deputyPort;

	private final Function<String, Optional<HostPort>> addresses;

	private final Map<String, RebalanceCoordinator> coordinators = new HashMap<>();

	private final Map<String, DelegatedSwitch> delegated = new HashMap<>();

	private final Map<String, SwitchDeputy> deputies = new HashMap<>();

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
	 * @param chosen how often its requests chose each expert since its previous report,
	 * set by set
	 */
	public void onRankReport(String service, EngineShape shape, RankReport report, List<Integer> chosen) {
		this.coordinators.computeIfAbsent(service + "/" + report.group(), (key) -> new RebalanceCoordinator(shape))
			.addReport(report, chosen, System.nanoTime());
	}

	/**
	 * Receives a switch that the leader delegates to this process.
	 * @param delegatedSwitch the switch
	 * @param timeout the timeout after which this process takes the switch over
	 */
	public void onSwitchDelegated(DelegatedSwitch delegatedSwitch, Duration timeout) {
		this.deputies.put(delegatedSwitch.group(),
				new SwitchDeputy(delegatedSwitch, timeout.toNanos(), System.nanoTime()));
	}

	/**
	 * Receives the notice that the leader has completed or cancelled a switch.
	 * @param completed the switch
	 */
	public void onSwitchEnded(DelegatedSwitch completed) {
		this.deputies.computeIfPresent(completed.group(),
				(group, deputy) -> deputy.delegatedSwitch().equals(completed) ? null : deputy);
	}

	/**
	 * Sends the due orders of all coordinators. Coordinators of an earlier term are
	 * dropped.
	 * @param present the term in which this process is the leader
	 */
	public void tick(long present) {
		if (present != this.term) {
			this.coordinators.clear();
			this.delegated.clear();
			this.term = present;
		}
		List.copyOf(this.coordinators.keySet()).forEach(this::sendDueOrders);
	}

	/**
	 * Sends the due orders of the deputies, and drops deputies that are done.
	 */
	public void tickDeputies() {
		long now = System.nanoTime();
		this.deputies.values().removeIf((deputy) -> deputy.isDone(now));
		List.copyOf(this.deputies.values()).forEach(this::sendDueOrders);
	}

	private void sendDueOrders(String group) {
		RebalanceCoordinator coordinator = this.coordinators.get(group);
		coordinator.tick(this.term, System.nanoTime())
			.forEach((order) -> send(order, (answer) -> onAnswer(group, coordinator, order, answer)));
		updateDeputies(group, coordinator);
	}

	// Sends the next orders at once instead of with the next tick, as a held pass delays
	// requests.
	private void onAnswer(String group, RebalanceCoordinator coordinator, RankOrder order, OrderAnswer answer) {
		coordinator.handleAnswer(order, answer, System.nanoTime());
		if (answer == OrderAnswer.TAKEN && this.coordinators.get(group) == coordinator) {
			sendDueOrders(group);
		}
	}

	private void updateDeputies(String group, RebalanceCoordinator coordinator) {
		Optional<DelegatedSwitch> present = coordinator.delegatedSwitch(group);
		DelegatedSwitch before = this.delegated.get(group);
		if (present.isPresent() && !present.get().equals(before)) {
			this.delegated.put(group, present.get());
			this.deputyPort.delegate(present.get())
				.thenRunAsync(() -> onDelegationConfirmed(group, coordinator, present.get()), this.executor);
		}
		else if (present.isEmpty() && before != null) {
			this.delegated.remove(group);
			this.deputyPort.notifyEnded(before);
		}
	}

	private void onDelegationConfirmed(String group, RebalanceCoordinator coordinator, DelegatedSwitch confirmed) {
		coordinator.delegationConfirmed(confirmed, System.nanoTime());
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
