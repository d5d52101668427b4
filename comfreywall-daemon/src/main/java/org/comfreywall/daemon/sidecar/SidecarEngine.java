package org.comfreywall.daemon.sidecar;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.comfreywall.common.attempt.AnswerChunk;
import org.comfreywall.common.attempt.AnswerEnd;
import org.comfreywall.common.attempt.AnswerHead;
import org.comfreywall.common.attempt.AnswerPart;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.poison.CrashReport;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.time.Clock;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.sidecar.attempt.AttemptCommand;
import org.comfreywall.sidecar.attempt.AttemptEvent;
import org.comfreywall.sidecar.attempt.AttemptRegistry;
import org.comfreywall.sidecar.attempt.AttemptRegistrySettings;
import org.comfreywall.sidecar.attempt.BackendCrashed;
import org.comfreywall.sidecar.attempt.CancelRun;
import org.comfreywall.sidecar.attempt.DrainStarted;
import org.comfreywall.sidecar.attempt.EntryLink;
import org.comfreywall.sidecar.attempt.FinishDrain;
import org.comfreywall.sidecar.attempt.LinkLost;
import org.comfreywall.sidecar.attempt.PartProduced;
import org.comfreywall.sidecar.attempt.ReportCrash;
import org.comfreywall.sidecar.attempt.RunBroken;
import org.comfreywall.sidecar.attempt.RunRefused;
import org.comfreywall.sidecar.attempt.SendEnd;
import org.comfreywall.sidecar.attempt.SendPart;
import org.comfreywall.sidecar.attempt.SendRefusal;
import org.comfreywall.sidecar.attempt.SendSealed;
import org.comfreywall.sidecar.attempt.SendStarted;
import org.comfreywall.sidecar.attempt.StartRun;
import org.comfreywall.sidecar.attempt.TimePassed;
import org.comfreywall.transport.PeerConnection;
import org.comfreywall.transport.PeerIdentity;
import org.comfreywall.transport.PeerListener;
import org.comfreywall.transport.attempt.AttemptDecoder;
import org.comfreywall.transport.attempt.AttemptPayload;
import org.comfreywall.transport.attempt.SidecarFrames;
import org.comfreywall.transport.generated.AttemptStart;
import org.comfreywall.transport.generated.Frame;
import org.comfreywall.transport.generated.Load;
import org.comfreywall.transport.worker.SerialWorker;

/**
 * Feeds the attempt registry with frames from entries and events of the backend server,
 * and executes its commands. Its state is confined to the sidecar's worker thread.
 */
final class SidecarEngine implements PeerListener {

	private static final EventLog LOG = EventLog.of(SidecarEngine.class);

	private static final int SEAL_CREDIT_PARTS = 64;

	private static final Duration ABORT_DELAY = Duration.ofMillis(50);

	private final BackendServerId server;

	private final PeerIdentity self;

	private final SerialWorker worker;

	private final BackendClient backend;

	private final Clock clock;

	private final Consumer<CrashReport> crashes;

	private final AttemptRegistry registry;

	private final OutboxRegistry outboxes = new OutboxRegistry();

	private final Map<AttemptId, BackendRun> runs = new HashMap<>();

	private final CompletableFuture<Void> drained = new CompletableFuture<>();

	private BackendLoad load = BackendLoad.IDLE;

	private long loadSequence;

	private boolean draining;

	private boolean drainFinished;

	SidecarEngine(SidecarParts parts, SerialWorker worker, BackendClient backend) {
		this.server = parts.server();
		this.self = parts.transport().self();
		this.worker = Preconditions.notNull(worker, "worker");
		this.backend = Preconditions.notNull(backend, "backend");
		this.clock = parts.clock();
		this.crashes = parts.crashes();
		this.registry = new AttemptRegistry(this.server, this.self.incarnation(), AttemptRegistrySettings.DEFAULT,
				new Invariants(), parts.decisions(), this.clock.nanoTime());
	}

	/**
	 * Refuses new attempts and lets running ones finish.
	 * @return completes when all answers have been sent
	 */
	CompletableFuture<Void> drain() {
		this.worker.execute(() -> {
			this.draining = true;
			handle(new DrainStarted());
			sendLoad();
		});
		return this.drained;
	}

	/**
	 * Advances the timers of the attempt registry and sends the load to all entries;
	 * called periodically on the worker thread.
	 */
	void tick() {
		handle(new TimePassed());
		sendLoad();
		completeDrain();
	}

	/**
	 * Stores the load last reported by the backend server; called on the worker thread.
	 * @param reported the load
	 */
	void updateLoad(BackendLoad reported) {
		this.load = reported;
	}

	@Override
	public void onOpen(PeerConnection connection) {
		offer(connection, () -> {
			this.outboxes.findOrCreateLink(connection);
			connection.send(loadFrame());
		});
	}

	@Override
	public void onFrame(PeerConnection connection, Frame frame) {
		offer(connection, () -> process(connection, frame));
	}

	@Override
	public void onClosed(PeerConnection connection, OperationError reason) {
		LOG.debug("entry-disconnected", Field.of("reason", reason.message()));
		this.worker
			.executeEventually(() -> this.outboxes.remove(connection).map(LinkLost::new).ifPresent(this::handle));
	}

	private void offer(PeerConnection connection, Runnable task) {
		if (!this.worker.offer(task)) {
			LOG.warn("sidecar-overloaded", Field.of("peer", connection));
			connection.close();
		}
	}

	private void process(PeerConnection connection, Frame frame) {
		EntryLink link = this.outboxes.findOrCreateLink(connection);
		if (frame.hasCredit()) {
			RequestId request = RequestId.of(frame.getCredit().getRequest());
			this.outboxes.addCredit(request, link, frame.getCredit().getParts());
			updatePaused(request);
			return;
		}
		Result<AttemptEvent> event = AttemptDecoder.fromEntry(frame, link);
		if (event.error().isPresent() || (frame.hasStart() && !storePayload(frame.getStart()))) {
			LOG.warn("malformed-frame", Field.of("peer", connection), Field.of("frame", frame.getBodyCase()));
			connection.close();
			return;
		}
		openOutbox(link, frame);
		event.value().ifPresent(this::handle);
	}

	private boolean storePayload(AttemptStart start) {
		Result<AttemptPayload> payload = AttemptDecoder.payload(start);
		payload.value().ifPresent((value) -> this.runs.putIfAbsent(id(start), new BackendRun(value)));
		return payload.value().isPresent();
	}

	private static AttemptId id(AttemptStart start) {
		return new AttemptId(RequestId.of(start.getAttempt().getRequest()), start.getAttempt().getNumber());
	}

	private void openOutbox(EntryLink link, Frame frame) {
		switch (frame.getBodyCase()) {
			case START -> open(frame.getStart().getAttempt().getRequest(), link, frame.getStart().getCredit());
			case RESUME -> open(frame.getResume().getAttempt().getRequest(), link, frame.getResume().getCredit());
			case CLAIM_QUERY -> open(frame.getClaimQuery().getOwner(), link, frame.getClaimQuery().getCredit());
			case SEAL -> openIfAbsent(frame.getSeal().getAttempt().getRequest(), link);
			default -> {
			}
		}
	}

	private void openIfAbsent(String request, EntryLink link) {
		if (!this.outboxes.isOpen(RequestId.of(request), link)) {
			open(request, link, SEAL_CREDIT_PARTS);
		}
	}

	private void open(String request, EntryLink link, int credit) {
		this.outboxes.open(RequestId.of(request), link, credit);
	}

	private void handle(AttemptEvent event) {
		this.registry.handle(event, this.clock.nanoTime()).forEach(this::execute);
	}

	private void execute(AttemptCommand command) {
		if (command instanceof StartRun start) {
			startRun(start.attempt());
		}
		else if (command instanceof CancelRun cancel) {
			BackendRun run = this.runs.remove(cancel.attempt());
			if (run != null) {
				run.cancel();
			}
		}
		else if (command instanceof ReportCrash crash) {
			this.crashes.accept(crash.report());
		}
		else if (command instanceof FinishDrain) {
			this.drainFinished = true;
			completeDrain();
		}
		else {
			send(command);
		}
	}

	private void send(AttemptCommand command) {
		if (command instanceof SendStarted started) {
			this.outboxes.send(started.link(), SidecarFrames.started(started));
		}
		else if (command instanceof SendPart part) {
			this.outboxes.sendInOrder(part.attempt().request(), part.link(), SidecarFrames.part(part));
			updatePaused(part.attempt().request());
		}
		else if (command instanceof SendEnd end) {
			this.outboxes.sendInOrder(end.attempt().request(), end.link(), SidecarFrames.ended(end));
		}
		else if (command instanceof SendRefusal refusal) {
			this.runs.remove(refusal.attempt());
			this.outboxes.send(refusal.link(), SidecarFrames.refused(refusal));
		}
		else if (command instanceof SendSealed sealed) {
			this.outboxes.send(sealed.link(), SidecarFrames.sealed(sealed));
		}
	}

	private void startRun(AttemptId attempt) {
		BackendRun run = this.runs.get(attempt);
		run.setCall(this.backend.run(attempt, run.payload(), new RunProgress(attempt)));
	}

	private void updatePaused(RequestId request) {
		boolean blocked = this.outboxes.areAllFull(request);
		this.runs.forEach((attempt, run) -> {
			if (attempt.request().equals(request)) {
				run.setPaused(blocked);
			}
		});
	}

	private void finishRun(AttemptId attempt, AttemptEvent event) {
		if (this.runs.remove(attempt) != null) {
			handle(event);
			this.outboxes.closeIfEmpty(attempt.request());
		}
	}

	private void handleFailure(AttemptId attempt, boolean sent) {
		if (!sent) {
			finishRun(attempt, new RunRefused(attempt));
			return;
		}
		this.backend.isResponding()
			.thenAccept((alive) -> this.worker.execute(() -> finishRun(attempt, failureEvent(attempt, alive))));
	}

	private static AttemptEvent failureEvent(AttemptId attempt, boolean alive) {
		return alive ? new RunBroken(attempt) : new BackendCrashed();
	}

	private void sendLoad() {
		this.outboxes.sendAll(loadFrame());
	}

	private Frame loadFrame() {
		this.loadSequence++;
		Load report = Load.newBuilder()
			.setIncarnation(this.self.incarnation().value())
			.setWindow(this.registry.window())
			.setSequence(this.loadSequence)
			.setRunning(Math.max(this.load.running(), this.registry.runningCount()))
			.setQueuedStandardTokens(this.load.queuedTokens())
			.setLeaving(this.draining)
			.build();
		return Frame.newBuilder().setLoad(report).build();
	}

	private void completeDrain() {
		if (this.drainFinished && this.outboxes.isEmpty()) {
			LOG.info("drained", Field.of("backend-server", this.server));
			this.drained.complete(null);
		}
	}

	/**
	 * Forwards the events of a run to the worker thread.
	 */
	private final class RunProgress implements BackendListener {

		private final AttemptId attempt;

		RunProgress(AttemptId attempt) {
			this.attempt = attempt;
		}

		@Override
		public void onHead(int status, String contentType) {
			deliver(new AnswerHead(status, contentType));
		}

		@Override
		public void onChunk(Bytes data) {
			deliver(new AnswerChunk(data));
		}

		@Override
		public void onComplete() {
			enqueue(() -> finishRun(this.attempt, new PartProduced(this.attempt, new AnswerEnd())));
		}

		@Override
		public void onFailure(OperationError error, boolean sent) {
			LOG.warn("run-failed", Field.of("attempt", this.attempt), Field.of("error", error.message()));
			enqueue(() -> handleFailure(this.attempt, sent));
		}

		private void deliver(AnswerPart part) {
			enqueue(() -> {
				if (SidecarEngine.this.runs.containsKey(this.attempt)) {
					handle(new PartProduced(this.attempt, part));
				}
			});
		}

		private void enqueue(Runnable task) {
			if (!SidecarEngine.this.worker.offer(task)) {
				abort();
			}
		}

		private void abort() {
			LOG.warn("run-broken-off", Field.of("attempt", this.attempt), Field.of("reason", "task queue is full"));
			SidecarEngine.this.worker.schedule(ABORT_DELAY, () -> {
				BackendRun run = SidecarEngine.this.runs.get(this.attempt);
				if (run != null) {
					run.cancel();
					finishRun(this.attempt, new RunBroken(this.attempt));
				}
			});
		}

	}

}
