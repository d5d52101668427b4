package org.comfreywall.bench.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.comfreywall.common.attempt.AnswerChunk;
import org.comfreywall.common.attempt.AnswerEnd;
import org.comfreywall.common.attempt.AnswerHead;
import org.comfreywall.common.attempt.AnswerPart;
import org.comfreywall.common.attempt.AttemptTarget;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.entry.request.EndReceived;
import org.comfreywall.entry.request.PartReceived;
import org.comfreywall.entry.request.RefusalReceived;
import org.comfreywall.entry.request.RequestEvent;
import org.comfreywall.entry.request.SealedReceived;
import org.comfreywall.entry.request.StartedReceived;
import org.comfreywall.sidecar.attempt.AttemptCommand;
import org.comfreywall.sidecar.attempt.AttemptEvent;
import org.comfreywall.sidecar.attempt.AttemptRegistry;
import org.comfreywall.sidecar.attempt.AttemptRegistrySettings;
import org.comfreywall.sidecar.attempt.BackendCrashed;
import org.comfreywall.sidecar.attempt.CancelRun;
import org.comfreywall.sidecar.attempt.DrainStarted;
import org.comfreywall.sidecar.attempt.EntryLink;
import org.comfreywall.sidecar.attempt.FinishDrain;
import org.comfreywall.sidecar.attempt.PartProduced;
import org.comfreywall.sidecar.attempt.ReportCrash;
import org.comfreywall.sidecar.attempt.RunBroken;
import org.comfreywall.sidecar.attempt.RunRefused;
import org.comfreywall.sidecar.attempt.SendEnd;
import org.comfreywall.sidecar.attempt.SendPart;
import org.comfreywall.sidecar.attempt.SendRefusal;
import org.comfreywall.sidecar.attempt.SendSealed;
import org.comfreywall.sidecar.attempt.SendStarted;
import org.comfreywall.sidecar.attempt.StartReceived;
import org.comfreywall.sidecar.attempt.StartRun;
import org.comfreywall.sidecar.attempt.TimePassed;

/**
 * A simulated sidecar, with the real {@link AttemptRegistry} and a fake backend server.
 */
final class SidecarNode extends Node {

	static final AttemptRegistrySettings SETTINGS = new AttemptRegistrySettings(Duration.ofMillis(500), 4,
			Duration.ofHours(27), Duration.ofSeconds(1), 20_000, 1_000_000, 400, 4L * 1024 * 1024);

	private static final Duration PUBLISH_INTERVAL = Duration.ofMillis(50);

	private static final Duration RESTART_DELAY = Duration.ofMillis(150);

	/** The time after the start of a drain in which runs may still be started. */
	private static final Duration DRAIN_GRACE_PERIOD = Duration.ofSeconds(2);

	private final Simulation simulation;

	private final BackendServerId server;

	private final Map<AttemptId, Operation> operations = new HashMap<>();

	private final Set<AttemptId> runningAttempts = new HashSet<>();

	private AttemptRegistry registry;

	private boolean backendUp = true;

	private long backendIncarnation;

	private boolean stalled;

	private long drainStartedAt = Long.MAX_VALUE;

	SidecarNode(Simulation simulation, String name, int region) {
		super(name, region);
		this.simulation = simulation;
		this.server = BackendServerId.of(name);
		this.registry = createRegistry();
	}

	BackendServerId server() {
		return this.server;
	}

	Incarnation incarnation() {
		return Incarnation.of(incarnationNumber());
	}

	int runningCount() {
		return this.runningAttempts.size();
	}

	void start(StartReceived event, Operation operation) {
		this.operations.put(event.attempt(), operation);
		receive(event);
	}

	void receive(AttemptEvent event) {
		if (!isAlive()) {
			return;
		}
		this.registry.handle(event, this.simulation.now()).forEach(this::execute);
		Class<?> kind = event.getClass();
		if (isAlive() && this.backendUp && this.simulation.faults().crashesBackend(kind)) {
			crashBackend();
		}
		if (isAlive() && this.simulation.faults().crashesSidecar(kind)) {
			crash();
		}
	}

	void publishState() {
		if (isAlive()) {
			receive(new TimePassed());
			AttemptTarget target = new AttemptTarget(this.server, incarnation(), this.registry.window());
			boolean draining = this.registry.isDraining();
			for (EntryNode entry : this.simulation.entries()) {
				this.simulation.send(this, entry, () -> entry.updateSidecar(target, draining));
			}
		}
		this.simulation.schedule(PUBLISH_INTERVAL, this::publishState);
	}

	void startDrain() {
		this.drainStartedAt = Math.min(this.drainStartedAt, this.simulation.now());
		receive(new DrainStarted());
	}

	void crash() {
		stop();
		abortRuns();
		this.simulation.schedule(RESTART_DELAY, this::restartProcess);
	}

	void crashBackend() {
		this.backendUp = false;
		abortRuns();
		this.simulation.scheduleUnlessRestarted(this, RESTART_DELAY, () -> this.backendUp = true);
		receive(new BackendCrashed());
	}

	void stall(Duration duration) {
		this.stalled = true;
		this.simulation.schedule(duration, () -> this.stalled = false);
	}

	private void abortRuns() {
		this.runningAttempts.clear();
		this.backendIncarnation++;
	}

	private void restartProcess() {
		restart();
		this.backendUp = true;
		this.drainStartedAt = Long.MAX_VALUE;
		this.operations.clear();
		this.registry = createRegistry();
	}

	private AttemptRegistry createRegistry() {
		return new AttemptRegistry(this.server, incarnation(), SETTINGS, this.simulation.invariants(),
				(record) -> this.simulation.decisionListener().onDecision(record), this.simulation.now());
	}

	private void execute(AttemptCommand command) {
		if (command instanceof StartRun start) {
			startRun(start.attempt());
		}
		else if (command instanceof CancelRun cancel) {
			this.runningAttempts.remove(cancel.attempt());
		}
		else if (command instanceof SendStarted started) {
			reply(started.link(), new StartedReceived(started.attempt(), this.server, incarnation()));
		}
		else if (command instanceof SendPart part) {
			reply(part.link(),
					new PartReceived(part.attempt(), this.server, incarnation(), part.sequence(), part.part()));
		}
		else if (command instanceof SendEnd end) {
			reply(end.link(), new EndReceived(end.attempt(), this.server, incarnation(), end.end(), end.crash()));
		}
		else if (command instanceof SendSealed sealed) {
			reply(sealed.link(), new SealedReceived(sealed.attempt(), this.server, incarnation()));
		}
		else if (command instanceof SendRefusal refusal) {
			reply(refusal.link(),
					new RefusalReceived(refusal.attempt(), this.server, refusal.incarnation(), refusal.refusal()));
		}
		else if (command instanceof ReportCrash report) {
			this.simulation.ledger()
				.callWithRetries(this,
						LedgerNode.returningEmpty(
								(ledger) -> ledger.poisonLedger().recordCrash(report.report(), ledger.logTime())),
						(result) -> {
						});
		}
		else if (command instanceof FinishDrain) {
			this.simulation.ruleChecker().recordDrainEnd(name(), this.runningAttempts.size());
			crash();
		}
	}

	private void reply(EntryLink link, RequestEvent event) {
		EntryNode entry = this.simulation.entry(link.entry().value());
		this.simulation.send(this, entry, () -> entry.handle(event));
	}

	private void startRun(AttemptId attempt) {
		if (!this.backendUp) {
			this.simulation.scheduleUnlessRestarted(this, Duration.ofMillis(1), () -> receive(new RunRefused(attempt)));
			return;
		}
		boolean afterDrainGrace = this.simulation.now() - DRAIN_GRACE_PERIOD.toNanos() > this.drainStartedAt;
		this.simulation.ruleChecker().recordStart(attempt.request(), afterDrainGrace);
		this.runningAttempts.add(attempt);
		Operation operation = this.operations.get(attempt);
		if (operation.poison()) {
			scheduleIfRunning(attempt, () -> {
				this.simulation.ruleChecker().recordBackendCrash(attempt.request());
				crashBackend();
			});
		}
		else {
			schedulePart(attempt, operation, 0);
		}
	}

	private void schedulePart(AttemptId attempt, Operation operation, int index) {
		scheduleIfRunning(attempt, () -> {
			if (this.stalled) {
				schedulePart(attempt, operation, index);
				return;
			}
			if (this.simulation.faults().abortsAnswer()) {
				this.runningAttempts.remove(attempt);
				receive(new RunBroken(attempt));
				return;
			}
			boolean last = index > Operation.ANSWER_CHUNKS;
			if (last) {
				this.runningAttempts.remove(attempt);
			}
			receive(new PartProduced(attempt, answerPart(operation, index)));
			if (!last) {
				schedulePart(attempt, operation, index + 1);
			}
		});
	}

	private void scheduleIfRunning(AttemptId attempt, Runnable action) {
		long incarnation = this.backendIncarnation;
		this.simulation.schedule(this.simulation.faults().answerPartDelay(), () -> {
			if (this.backendIncarnation == incarnation && this.runningAttempts.contains(attempt)) {
				action.run();
			}
		});
	}

	private static AnswerPart answerPart(Operation operation, int index) {
		if (index == 0) {
			return new AnswerHead(200, "text/plain");
		}
		if (index > Operation.ANSWER_CHUNKS) {
			return new AnswerEnd();
		}
		return new AnswerChunk(Bytes.ofText(operation.answerChunks().get(index - 1)));
	}

}
