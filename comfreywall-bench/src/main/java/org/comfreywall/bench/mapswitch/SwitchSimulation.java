package org.comfreywall.bench.mapswitch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.LongSupplier;

import org.comfreywall.common.id.Term;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.group.map.MapRef;
import org.comfreywall.group.map.MapVersion;
import org.comfreywall.group.mapswitch.AgentReport;
import org.comfreywall.group.mapswitch.AgentSettings;
import org.comfreywall.group.mapswitch.AssignmentRequested;
import org.comfreywall.group.mapswitch.CoordinatorSettings;
import org.comfreywall.group.mapswitch.CoordinatorTick;
import org.comfreywall.group.mapswitch.DecisionLedger;
import org.comfreywall.group.mapswitch.LedgerResult;
import org.comfreywall.group.mapswitch.LedgerState;
import org.comfreywall.group.mapswitch.LedgerWrite;
import org.comfreywall.group.mapswitch.MapInstallRequested;
import org.comfreywall.group.mapswitch.ReportReceived;
import org.comfreywall.group.mapswitch.SendOrder;
import org.comfreywall.group.mapswitch.StepProgress;
import org.comfreywall.group.mapswitch.SwitchEnded;
import org.comfreywall.group.mapswitch.SwitchOutcome;
import org.comfreywall.group.mapswitch.SwitchRequested;
import org.comfreywall.group.mapswitch.WriteDurable;

/**
 * Discrete-event simulation of one group with its decision ledger and coordinators.
 * Coordinators of earlier terms and replaced servers keep running, up to a limit, to test
 * that their messages have no effect.
 */
final class SwitchSimulation {

	/** The maximum number of replaced servers that keep running. */
	private static final int MAX_REPLACED_HOSTS = 8;

	/** The maximum number of running coordinators, including the current one. */
	private static final int MAX_RUNNING_COORDINATORS = 3;

	private final EventQueue queue = new EventQueue();

	private final Invariants invariants = new Invariants();

	private final StepAudit stepAudit = new StepAudit();

	private final LedgerAudit ledgerAudit = new LedgerAudit(this.stepAudit::addViolation);

	/** Steps for which an engine was ready before it had permission to start them. */
	private final TreeSet<Long> delayedSteps = new TreeSet<>();

	private final List<FakeCoordinator> coordinators = new ArrayList<>();

	private final List<FakeHost> replacedHosts = new ArrayList<>();

	private final SimulationSettings settings;

	private final Link link;

	private final StepBarrier stepBarrier;

	private final FakeHost[] hosts;

	private final DecisionLedger ledger;

	private LongSupplier computeNanos;

	private long switchMessages;

	private long longestWaitNanos;

	private long committedSwitches;

	private long latestTerm;

	private long latestVersion = 1;

	SwitchSimulation(SimulationSettings settings, LinkPolicy policy, LongSupplier computeNanos) {
		this.settings = settings;
		this.link = new Link(this.queue, policy);
		this.stepBarrier = new StepBarrier(settings.ranks(), this::notifyStepCompleted);
		this.hosts = new FakeHost[settings.ranks()];
		this.ledger = new DecisionLedger(settings.ranks(), LedgerState.EMPTY);
		this.computeNanos = computeNanos;
	}

	void start() {
		startCoordinator();
		currentCoordinator().handle(new MapInstallRequested(requestedMap()));
		for (int rank = 0; rank < this.hosts.length; rank++) {
			this.hosts[rank] = createHost(rank);
			this.hosts[rank].startSidecar();
		}
		tick();
	}

	int ranks() {
		return this.hosts.length;
	}

	EventQueue queue() {
		return this.queue;
	}

	Link link() {
		return this.link;
	}

	StepBarrier stepBarrier() {
		return this.stepBarrier;
	}

	StepAudit stepAudit() {
		return this.stepAudit;
	}

	Invariants invariants() {
		return this.invariants;
	}

	AgentSettings agentSettings() {
		return this.settings.agentSettings();
	}

	CoordinatorSettings coordinatorSettings() {
		return this.settings.coordinatorSettings().get();
	}

	long loadNanos() {
		return this.settings.loadNanos();
	}

	long switchMessages() {
		return this.switchMessages;
	}

	long delayedSteps() {
		return this.delayedSteps.size();
	}

	long longestWaitNanos() {
		return this.longestWaitNanos;
	}

	long committedSwitches() {
		return this.committedSwitches;
	}

	void resetCounters() {
		this.switchMessages = 0;
		this.longestWaitNanos = 0;
		this.delayedSteps.clear();
	}

	FakeCoordinator currentCoordinator() {
		return this.coordinators.get(this.coordinators.size() - 1);
	}

	FakeHost host(int rank) {
		return this.hosts[rank];
	}

	void setComputeTime(LongSupplier nanos) {
		this.computeNanos = nanos;
	}

	void runUntil(long time) {
		while (this.queue.now() < time) {
			this.queue.runNext();
		}
	}

	void startCoordinator() {
		this.latestTerm++;
		this.coordinators.removeIf((coordinator) -> !coordinator.isAlive());
		if (this.coordinators.size() == MAX_RUNNING_COORDINATORS) {
			this.coordinators.remove(0).crash();
		}
		this.coordinators.add(new FakeCoordinator(this, Term.of(this.latestTerm)));
		currentCoordinator().start();
	}

	MapRef requestSwitch() {
		this.latestVersion++;
		currentCoordinator().handle(new SwitchRequested(requestedMap()));
		return requestedMap();
	}

	void replaceServer(int rank) {
		FakeHost previous = this.hosts[rank];
		previous.detach();
		this.replacedHosts.add(previous);
		if (this.replacedHosts.size() > MAX_REPLACED_HOSTS) {
			this.replacedHosts.remove(0).stopSidecar();
		}
		this.stepAudit.discardExecutions(rank, this.stepBarrier.completedStep());
		this.stepBarrier.resetRank(rank);
		this.hosts[rank] = createHost(rank);
		this.hosts[rank].startSidecar();
	}

	void sendOrder(SendOrder send) {
		this.stepAudit.recordOrder(send.order());
		this.switchMessages++;
		this.link.send(send.rank(), send.order(), () -> deliver(send));
	}

	void sendReport(int rank, AgentReport report) {
		this.ledgerAudit.recordReport(report);
		if (!(report instanceof StepProgress)) {
			this.switchMessages++;
		}
		for (FakeCoordinator coordinator : this.coordinators) {
			this.link.send(rank, report, () -> coordinator.handle(new ReportReceived(report)));
		}
	}

	void sendWrite(FakeCoordinator writer, LedgerWrite write) {
		this.switchMessages++;
		this.link.send(Link.LEDGER, write, () -> {
			LedgerState before = this.ledger.state();
			LedgerResult result = this.ledger.apply(write);
			this.ledgerAudit.recordWrite(write, before, result.state());
			this.link.send(Link.LEDGER, result, () -> writer.handle(new WriteDurable(write, result)));
		});
	}

	void recordSwitchEnd(SwitchEnded ended) {
		if (ended.outcome() == SwitchOutcome.COMMITTED) {
			this.committedSwitches++;
		}
	}

	void recordStepStart(int rank, long step, Optional<MapRef> weights, long waitedNanos, FakeHost host) {
		this.stepAudit.recordExecution(rank, step, weights);
		if (waitedNanos > 0) {
			this.delayedSteps.add(step);
			this.longestWaitNanos = Math.max(this.longestWaitNanos, waitedNanos);
		}
		this.queue.schedule(this.computeNanos.getAsLong(), () -> {
			if (!host.isDetached()) {
				this.stepBarrier.recordComputed(rank, step);
			}
		});
	}

	private MapRef requestedMap() {
		return new MapRef(MapVersion.of(this.latestVersion), "content-" + this.latestVersion);
	}

	private FakeHost createHost(int rank) {
		String name = "server-" + rank + "-" + this.settings.serverNumbers().getAsLong();
		return new FakeHost(this, rank, name, this.settings.stepsAhead().applyAsInt(rank),
				this.settings.checksFencing().test(rank));
	}

	private void deliver(SendOrder send) {
		for (FakeHost host : this.replacedHosts) {
			deliver(host, send);
		}
		deliver(this.hosts[send.rank()], send);
	}

	private static void deliver(FakeHost host, SendOrder send) {
		if (host.server().equals(send.addressee().server())) {
			host.receive(send.addressee(), send.order());
		}
	}

	private void notifyStepCompleted(long step) {
		for (FakeHost host : this.hosts) {
			host.onStepCompleted();
		}
	}

	private void tick() {
		for (int rank = 0; rank < this.hosts.length; rank++) {
			if (!this.ledger.state().isAssigned(rank, this.hosts[rank].member())) {
				currentCoordinator().handle(new AssignmentRequested(rank, this.hosts[rank].member()));
			}
		}
		List.copyOf(this.coordinators).forEach((coordinator) -> coordinator.handle(new CoordinatorTick()));
		Arrays.stream(this.hosts).forEach(FakeHost::tick);
		this.replacedHosts.forEach(FakeHost::tick);
		this.queue.schedule(this.settings.tickNanos(), this::tick);
	}

}
