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
 * A sidecar with the real registry of attempts, beside a stand-in backend server.
 */
final class SidecarNode extends Node {

	static final AttemptRegistrySettings SETTINGS = new AttemptRegistrySettings(Duration.ofMillis(500), 4,
			Duration.ofHours(27), Duration.ofSeconds(1), 20_000, 1_000_000, 400, 4L * 1024 * 1024);

	private static final Duration PUBLISH_TIME = Duration.ofMillis(50);

	private static final Duration RESTART_TIME = Duration.ofMillis(150);

	private static final Duration LEAVING_TIME = Duration.ofSeconds(2);

	private final World world;

	private final BackendServerId server;

	private final Map<AttemptId, Operation> operations = new HashMap<>();

	private final Set<AttemptId> runs = new HashSet<>();

	private AttemptRegistry registry;

	private boolean backendUp = true;

	private long backendLife;

	private boolean stalled;

	private long drainedAt = Long.MAX_VALUE;

	SidecarNode(World world, String name, int region) {
		super(name, region);
		this.world = world;
		this.server = BackendServerId.of(name);
		this.registry = createRegistry();
	}

	BackendServerId server() {
		return this.server;
	}

	Incarnation incarnation() {
		return Incarnation.of(life());
	}

	int running() {
		return this.runs.size();
	}

	void start(StartReceived event, Operation operation) {
		this.operations.put(event.attempt(), operation);
		receive(event);
	}

	void receive(AttemptEvent event) {
		if (!isAlive()) {
			return;
		}
		this.registry.handle(event, this.world.now()).forEach(this::carryOut);
		Class<?> kind = event.getClass();
		if (isAlive() && this.backendUp && this.world.faults().crashesBackend(kind)) {
			crashBackend();
		}
		if (isAlive() && this.world.faults().crashesSidecar(kind)) {
			crash();
		}
	}

	void publish() {
		if (isAlive()) {
			receive(new TimePassed());
			AttemptTarget target = new AttemptTarget(this.server, incarnation(), this.registry.window());
			boolean draining = this.registry.isDraining();
			for (EntryNode entry : this.world.entries()) {
				this.world.send(this, entry, () -> entry.heard(target, draining));
			}
		}
		this.world.after(PUBLISH_TIME, this::publish);
	}

	void drain() {
		this.drainedAt = Math.min(this.drainedAt, this.world.now());
		receive(new DrainStarted());
	}

	void crash() {
		stop();
		crashRuns();
		this.world.after(RESTART_TIME, this::comeBack);
	}

	void crashBackend() {
		this.backendUp = false;
		crashRuns();
		this.world.afterIfSame(this, RESTART_TIME, () -> this.backendUp = true);
		receive(new BackendCrashed());
	}

	void stall(Duration duration) {
		this.stalled = true;
		this.world.after(duration, () -> this.stalled = false);
	}

	private void crashRuns() {
		this.runs.clear();
		this.backendLife++;
	}

	private void comeBack() {
		restart();
		this.backendUp = true;
		this.drainedAt = Long.MAX_VALUE;
		this.operations.clear();
		this.registry = createRegistry();
	}

	private AttemptRegistry createRegistry() {
		return new AttemptRegistry(this.server, incarnation(), SETTINGS, this.world.invariants(),
				(record) -> this.world.listener().onDecision(record), this.world.now());
	}

	private void carryOut(AttemptCommand command) {
		if (command instanceof StartRun start) {
			startRun(start.attempt());
		}
		else if (command instanceof CancelRun cancel) {
			this.runs.remove(cancel.attempt());
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
			this.world.ledger()
				.callUntilAnswered(this,
						LedgerNode.none((ledger) -> ledger.poison().recordCrash(report.report(), ledger.logTime())),
						(done) -> {
						});
		}
		else if (command instanceof FinishDrain) {
			this.world.observer().interrupted(name(), this.runs.size());
			crash();
		}
	}

	private void reply(EntryLink link, RequestEvent event) {
		EntryNode entry = this.world.entry(link.entry().value());
		this.world.send(this, entry, () -> entry.handle(event));
	}

	private void startRun(AttemptId attempt) {
		if (!this.backendUp) {
			this.world.afterIfSame(this, Duration.ofMillis(1), () -> receive(new RunRefused(attempt)));
			return;
		}
		boolean late = this.world.now() - LEAVING_TIME.toNanos() > this.drainedAt;
		this.world.observer().started(attempt.request(), late);
		this.runs.add(attempt);
		Operation operation = this.operations.get(attempt);
		if (operation.poison()) {
			ifRunning(attempt, () -> {
				this.world.observer().lost(attempt.request());
				crashBackend();
			});
		}
		else {
			produce(attempt, operation, 0);
		}
	}

	private void produce(AttemptId attempt, Operation operation, int index) {
		ifRunning(attempt, () -> {
			if (this.stalled) {
				produce(attempt, operation, index);
				return;
			}
			if (this.world.faults().breaksAnswer()) {
				this.runs.remove(attempt);
				receive(new RunBroken(attempt));
				return;
			}
			boolean last = index > Operation.CHUNKS;
			if (last) {
				this.runs.remove(attempt);
			}
			receive(new PartProduced(attempt, part(operation, index)));
			if (!last) {
				produce(attempt, operation, index + 1);
			}
		});
	}

	private void ifRunning(AttemptId attempt, Runnable action) {
		long life = this.backendLife;
		this.world.after(this.world.faults().partTime(), () -> {
			if (this.backendLife == life && this.runs.contains(attempt)) {
				action.run();
			}
		});
	}

	private static AnswerPart part(Operation operation, int index) {
		if (index == 0) {
			return new AnswerHead(200, "text/plain");
		}
		if (index > Operation.CHUNKS) {
			return new AnswerEnd();
		}
		return new AnswerChunk(Bytes.ofText(operation.answer().get(index - 1)));
	}

}
