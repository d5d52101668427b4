package org.comfreywall.bench.control;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.control.log.BootstrapBatch;
import org.comfreywall.control.log.LogSettings;
import org.comfreywall.control.log.MessageReceived;
import org.comfreywall.control.log.PeerMessage;
import org.comfreywall.control.storage.MemoryStorage;

/**
 * The simulated cluster of a randomised run: its instances, network, schedule and
 * checker.
 */
final class SimulatedCluster {

	private static final LogSettings SETTINGS = new LogSettings(Duration.ofMillis(20), Duration.ofMillis(100), 10, 16,
			1 << 12, 64, 1 << 16, 2000, 8, 512, 50);

	private static final long MAX_CLOCK_OFFSET_NANOS = Duration.ofDays(1).toNanos();

	private static final double MAX_CLOCK_RATE_ERROR = 0.04;

	private final Random random;

	private final EventQueue schedule = new EventQueue();

	private final SafetyChecker checker = new SafetyChecker(this.schedule);

	private final Invariants invariants = new Invariants();

	private final SimulatedNetwork network;

	private final Map<InstanceId, SimulatedInstance> instances = new TreeMap<>();

	private int nextNumber = 1;

	SimulatedCluster(long seed, int size) {
		this.random = new Random(seed);
		this.network = new SimulatedNetwork(this.schedule, this.random, this::deliver);
		List<InstanceId> initialMembers = IntStream.rangeClosed(1, size)
			.mapToObj(SimulatedCluster::instanceId)
			.toList();
		initialMembers
			.forEach((member) -> add(MemoryStorage.with(BootstrapBatch.STORAGE_ID, BootstrapBatch.of(initialMembers))));
	}

	private static InstanceId instanceId(int number) {
		return InstanceId.of(String.format("c%03d", number));
	}

	private SimulatedInstance add(MemoryStorage storage) {
		double speed = 1 + (2 * this.random.nextDouble() - 1) * MAX_CLOCK_RATE_ERROR;
		DriftingClock clock = new DriftingClock(this.random.nextLong(MAX_CLOCK_OFFSET_NANOS), speed);
		SimulatedInstance instance = new SimulatedInstance(this, instanceId(this.nextNumber++), storage, clock);
		this.instances.put(instance.id(), instance);
		instance.start();
		return instance;
	}

	SimulatedInstance addEmptyInstance() {
		return add(MemoryStorage.empty(this.random.nextLong()));
	}

	void destroy(SimulatedInstance instance) {
		instance.crash();
		this.instances.remove(instance.id());
	}

	private void deliver(PeerMessage message) {
		Optional.ofNullable(this.instances.get(message.to()))
			.ifPresent((receiver) -> receiver.process(new MessageReceived(message)));
	}

	Random random() {
		return this.random;
	}

	EventQueue schedule() {
		return this.schedule;
	}

	SafetyChecker checker() {
		return this.checker;
	}

	Invariants invariants() {
		return this.invariants;
	}

	SimulatedNetwork network() {
		return this.network;
	}

	LogSettings settings() {
		return SETTINGS;
	}

	Collection<SimulatedInstance> instances() {
		return this.instances.values();
	}

	SimulatedInstance randomInstance() {
		return pick(List.copyOf(this.instances.values()));
	}

	// Picks an instance in the role of leader, which may be of an outdated term, or any
	// instance if there is none.
	SimulatedInstance randomLeader() {
		List<SimulatedInstance> leaders = this.instances.values().stream().filter(SimulatedInstance::isLeader).toList();
		return leaders.isEmpty() ? randomInstance() : pick(leaders);
	}

	private <T> T pick(List<T> choices) {
		return choices.get(this.random.nextInt(choices.size()));
	}

}
