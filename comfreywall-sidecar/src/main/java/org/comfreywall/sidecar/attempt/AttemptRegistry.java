package org.comfreywall.sidecar.attempt;

import java.util.List;
import java.util.Optional;

import org.comfreywall.common.attempt.AnswerEnd;
import org.comfreywall.common.attempt.AttemptEnd;
import org.comfreywall.common.attempt.AttemptRefusal;
import org.comfreywall.common.attempt.AttemptTarget;
import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.poison.CrashEvidence;
import org.comfreywall.common.poison.CrashReport;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.util.Preconditions;

/**
 * Runs each attempt at most once and answers entries' queries about its state.
 * <p>
 * An attempt that has not started can be sealed: every duplicate that arrives later is
 * refused. Attempts addressed to another incarnation of the sidecar are refused. The
 * answer of an attempt is kept, so that it can be resumed from any part. The registry is
 * a deterministic state machine without I/O, threads or a clock: the driver passes each
 * event with the time and executes the commands in order. Not thread-safe.
 */
public final class AttemptRegistry {

	private final BackendServerId backendServer;

	private final Incarnation incarnation;

	private final AttemptRegistrySettings settings;

	private final DecisionListener listener;

	private final AttemptStore store;

	private final AttemptCommandQueue commands;

	private final RunningAttempts runningAttempts;

	private final AttemptAdmission admission;

	private final AttemptDrain drain;

	private final long startedAt;

	private int crashCount;

	private long now;

	/**
	 * Creates the registry of one incarnation of a sidecar.
	 * @param backendServer the backend server of the sidecar
	 * @param incarnation the incarnation of the sidecar, never used before
	 * @param settings the limits and retention times
	 * @param invariants checks invariants
	 * @param listener receives a record of each decision
	 * @param now the time in nanoseconds
	 */
	public AttemptRegistry(BackendServerId backendServer, Incarnation incarnation, AttemptRegistrySettings settings,
			Invariants invariants, DecisionListener listener, long now) {
		this.backendServer = Preconditions.notNull(backendServer, "backendServer");
		this.incarnation = Preconditions.notNull(incarnation, "incarnation");
		this.settings = Preconditions.notNull(settings, "settings");
		this.listener = Preconditions.notNull(listener, "listener");
		this.store = new AttemptStore(settings);
		this.commands = new AttemptCommandQueue(incarnation, listener);
		this.runningAttempts = new RunningAttempts(Preconditions.notNull(invariants, "invariants"), this.commands);
		this.admission = new AttemptAdmission(settings, this.store, this.runningAttempts);
		this.drain = new AttemptDrain(this.store, this.runningAttempts, settings.orphanTime());
		this.startedAt = now;
		this.now = now;
	}

	/**
	 * Handles one event.
	 * @param event the event
	 * @param time the time in nanoseconds, monotonic
	 * @return the commands to execute, in order
	 */
	public List<AttemptCommand> handle(AttemptEvent event, long time) {
		Preconditions.notNull(event, "event");
		this.now = Math.max(this.now, time);
		this.store.advance((this.now - this.startedAt) / this.settings.window().toNanos(), this.now);
		dispatch(event);
		if (this.drain.tryFinish(this.now)) {
			this.commands.add(new FinishDrain());
		}
		return this.commands.takeCommands();
	}

	/**
	 * Returns the current window, which each load report sends to entries.
	 * @return the window's number
	 */
	public long window() {
		return this.store.window();
	}

	/**
	 * Returns whether new attempts are refused because a drain was started.
	 * @return {@code true} after a drain was started
	 */
	public boolean isDraining() {
		return this.drain.isStarted();
	}

	/**
	 * Returns the number of running attempts.
	 * @return the count
	 */
	public int runningCount() {
		return this.runningAttempts.size();
	}

	private void dispatch(AttemptEvent event) {
		if (event instanceof StartReceived start) {
			onStart(start);
		}
		else if (event instanceof PartProduced part) {
			onPart(part);
		}
		else if (event instanceof SealReceived seal) {
			onSeal(seal);
		}
		else if (event instanceof ClaimQueryReceived query) {
			onClaimQuery(query);
		}
		else if (event instanceof ResumeReceived resume) {
			onResume(resume);
		}
		else if (event instanceof CancelReceived cancel) {
			onCancel(cancel);
		}
		else if (event instanceof LinkLost lost) {
			onLinkLost(lost.link());
		}
		else if (event instanceof RunRefused refused) {
			this.runningAttempts.find(refused.attempt()).ifPresent(this::onRunRefused);
		}
		else if (event instanceof RunBroken broken) {
			this.runningAttempts.find(broken.attempt()).ifPresent((record) -> fail(record, AttemptEnd.BROKEN, 0));
		}
		else if (event instanceof BackendCrashed) {
			onBackendCrashed();
		}
		else if (event instanceof DrainStarted) {
			onDrainStarted();
		}
		else if (event instanceof TimePassed) {
			cancelOrphans();
		}
	}

	private void onStart(StartReceived start) {
		AttemptId attempt = start.attempt();
		if (!isAddressed(start.target())) {
			refuseOtherIncarnation(start.link(), attempt, start.target().incarnation());
			return;
		}
		Optional<AttemptRecord> known = this.store.find(attempt.request());
		if (known.isPresent() && !isRetry(start, known.get())) {
			onKnownStart(start, known.get());
			return;
		}
		Optional<AttemptRefusal> refusal = this.admission.checkStart(start, known.isPresent(), isDraining(), this.now);
		if (refusal.isPresent()) {
			refuse(start.link(), attempt, refusal.get());
			return;
		}
		accept(start);
	}

	private boolean isRetry(StartReceived start, AttemptRecord known) {
		return start.traits().idempotent() && known.permitsRetry(start.attempt());
	}

	// Handles a start that is not a permitted retry while an attempt of the request is
	// stored: a copy of the stored attempt receives its answer, others are refused.
	private void onKnownStart(StartReceived start, AttemptRecord known) {
		if (known.state() == AttemptState.SEALED && !known.mayHaveReplaced(start.attempt())) {
			refuse(start.link(), start.attempt(), AttemptRefusal.SEALED);
		}
		else if (!known.attempt().equals(start.attempt())) {
			refuse(start.link(), start.attempt(), AttemptRefusal.ALREADY_RUNNING);
		}
		else if (!known.links().contains(start.link())) {
			this.commands.replayAndSubscribe(known, start.link(), 0);
		}
	}

	private void accept(StartReceived start) {
		AttemptRecord record = AttemptRecord.accepted(start.attempt(), start.traits());
		record.addLink(start.link());
		this.store.put(record);
		this.runningAttempts.startOrQueue(record);
	}

	private void onPart(PartProduced event) {
		Optional<AttemptRecord> known = this.runningAttempts.find(event.attempt());
		if (known.isEmpty()) {
			return;
		}
		AttemptRecord record = known.get();
		long sequence = this.store.addPart(record, event.part());
		record.links().forEach((link) -> this.commands.sendPart(link, record, sequence, event.part()));
		if (event.part() instanceof AnswerEnd) {
			record.markFinished();
			end(record);
		}
	}

	private void onSeal(SealReceived seal) {
		AttemptId attempt = seal.attempt();
		if (!isAddressed(seal.target())) {
			refuseOtherIncarnation(seal.link(), attempt, seal.target().incarnation());
			return;
		}
		Optional<AttemptRecord> known = this.store.find(attempt.request());
		if (known.isPresent()) {
			sealKnown(known.get(), attempt, seal.link());
		}
		else if (this.store.hasStartedClaim(attempt.request()) || this.store.mayHaveExpired(seal.target().window())) {
			refuse(seal.link(), attempt, AttemptRefusal.STALE_WINDOW);
		}
		else {
			sealUnknown(attempt, seal.link());
		}
	}

	private void onClaimQuery(ClaimQueryReceived query) {
		AttemptId everyAttempt = AttemptTarget.everyAttemptOf(query.owner());
		if (!query.incarnation().equals(this.incarnation)) {
			refuseOtherIncarnation(query.link(), everyAttempt, query.incarnation());
			return;
		}
		Optional<AttemptRecord> known = this.store.find(query.owner());
		if (known.isPresent()) {
			joinOrSeal(known.get(), everyAttempt, query.link());
		}
		else if (this.store.hasStartedClaim(query.owner())) {
			this.commands.sendEnd(query.link(), everyAttempt, AttemptEnd.ANSWER_DROPPED, 0);
		}
		else {
			sealUnknown(everyAttempt, query.link());
		}
	}

	// Confirms the seal if the attempt is sealed, otherwise sends its answer.
	private void joinOrSeal(AttemptRecord known, AttemptId attempt, EntryLink link) {
		if (known.state() == AttemptState.SEALED) {
			this.commands.sendSealed(link, attempt);
		}
		else {
			this.commands.replayAndSubscribe(known, link, 0);
		}
	}

	// Handles a seal while an attempt of the request is stored, either the one to seal or
	// another one.
	private void sealKnown(AttemptRecord known, AttemptId attempt, EntryLink link) {
		if (known.state() == AttemptState.QUEUED && attempt.equals(known.attempt())) {
			known.addLink(link);
			sealQueued(known);
		}
		else if (known.permitsRetry(attempt)) {
			sealUnknown(attempt, link);
		}
		else if (known.mayHaveReplaced(attempt)) {
			refuse(link, attempt, AttemptRefusal.ALREADY_RUNNING);
		}
		else {
			joinOrSeal(known, attempt, link);
		}
	}

	private void sealUnknown(AttemptId attempt, EntryLink link) {
		this.store.storeSeal(AttemptRecord.sealed(attempt), this.now);
		this.commands.sendSealed(link, attempt);
	}

	private void sealQueued(AttemptRecord queued) {
		List<EntryLink> links = List.copyOf(queued.links());
		queued.markSealed();
		end(queued);
		links.forEach((link) -> this.commands.sendSealed(link, queued.attempt()));
	}

	private void onResume(ResumeReceived resume) {
		AttemptId attempt = resume.attempt();
		Optional<AttemptRecord> known = this.store.find(attempt.request())
			.filter((record) -> record.attempt().equals(attempt));
		if (!resume.incarnation().equals(this.incarnation)) {
			refuseOtherIncarnation(resume.link(), attempt, resume.incarnation());
		}
		else if (known.isEmpty()) {
			refuse(resume.link(), attempt, AttemptRefusal.STALE_WINDOW);
		}
		else if (known.get().state() == AttemptState.SEALED) {
			refuse(resume.link(), attempt, AttemptRefusal.SEALED);
		}
		else {
			this.commands.replayAndSubscribe(known.get(), resume.link(), resume.nextSequence());
		}
	}

	private void onCancel(CancelReceived cancel) {
		if (!cancel.incarnation().equals(this.incarnation)) {
			return;
		}
		Optional<AttemptRecord> known = this.store.find(cancel.attempt().request());
		if (known.isEmpty()) {
			this.store.storeSeal(AttemptRecord.sealed(cancel.attempt()), this.now);
			return;
		}
		AttemptRecord record = known.get();
		if (!record.attempt().equals(cancel.attempt())) {
			return;
		}
		if (record.state() == AttemptState.QUEUED) {
			sealQueued(record);
		}
		else if (record.state() == AttemptState.RUNNING && record.isIdempotent()) {
			cancelRun(record);
		}
	}

	private void cancelRun(AttemptRecord record) {
		this.commands.add(new CancelRun(record.attempt()));
		fail(record, AttemptEnd.CANCELLED, 0);
	}

	private void onLinkLost(EntryLink link) {
		this.runningAttempts.all().forEach((record) -> record.removeLink(link, this.now));
		Optional<AttemptRecord> queued = this.runningAttempts.findQueued()
			.filter((record) -> record.links().contains(link));
		queued.ifPresent((record) -> {
			record.removeLink(link, this.now);
			sealQueued(record);
		});
	}

	private void onRunRefused(AttemptRecord record) {
		List<EntryLink> links = List.copyOf(record.links());
		record.markSealed();
		end(record);
		links.forEach((link) -> refuse(link, record.attempt(), AttemptRefusal.BACKEND_UNREACHABLE));
	}

	private void onBackendCrashed() {
		this.crashCount++;
		List<AttemptRecord> running = this.runningAttempts.all();
		if (running.isEmpty()) {
			return;
		}
		boolean isolated = running.get(0).traits().isolated();
		List<Fingerprint> inFlight = running.stream()
			.map((record) -> record.traits().fingerprint())
			.distinct()
			.toList();
		this.commands.add(new ReportCrash(new CrashReport(CrashEvidence.BACKEND_CRASHED, this.backendServer,
				this.incarnation, this.crashCount, inFlight, isolated)));
		running.forEach((record) -> fail(record, AttemptEnd.CRASHED, this.crashCount));
	}

	private void onDrainStarted() {
		this.drain.start();
		this.runningAttempts.findQueued().ifPresent(this::sealQueued);
		this.listener.onDecision(DecisionRecord.of(DecisionKind.DRAIN, this.backendServer.toString(), "draining",
				Field.of("incarnation", this.incarnation), Field.of("running", this.runningAttempts.size())));
	}

	private void cancelOrphans() {
		long detachedBefore = this.now - this.settings.orphanTime().toNanos();
		for (AttemptRecord record : this.runningAttempts.all()) {
			if (record.links().isEmpty() && record.isIdempotent() && record.lastLinkAt() <= detachedBefore) {
				cancelRun(record);
			}
		}
	}

	private void fail(AttemptRecord record, AttemptEnd reason, int crashNumber) {
		record.markFailed(reason, crashNumber);
		record.links().forEach((link) -> this.commands.sendEnd(link, record.attempt(), reason, crashNumber));
		end(record);
	}

	private void end(AttemptRecord record) {
		this.store.markEnded(record, this.now);
		this.runningAttempts.remove(record);
	}

	private boolean isAddressed(AttemptTarget target) {
		return target.backendServer().equals(this.backendServer) && target.incarnation().equals(this.incarnation);
	}

	private void refuse(EntryLink link, AttemptId attempt, AttemptRefusal refusal) {
		this.commands.sendRefusal(link, attempt, this.incarnation, refusal, window());
	}

	private void refuseOtherIncarnation(EntryLink link, AttemptId attempt, Incarnation addressedIncarnation) {
		this.commands.sendRefusal(link, attempt, addressedIncarnation, AttemptRefusal.OTHER_INCARNATION, window());
	}

}
