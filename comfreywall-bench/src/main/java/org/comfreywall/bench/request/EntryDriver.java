package org.comfreywall.bench.request;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import org.comfreywall.common.claim.ClaimResult;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.entry.request.AcquireClaim;
import org.comfreywall.entry.request.AcquireIsolation;
import org.comfreywall.entry.request.ClaimAnswered;
import org.comfreywall.entry.request.ClaimFailed;
import org.comfreywall.entry.request.ClaimReleased;
import org.comfreywall.entry.request.CrashRecorded;
import org.comfreywall.entry.request.FinishClaim;
import org.comfreywall.entry.request.IsolationAnswered;
import org.comfreywall.entry.request.MarkClaimUnknown;
import org.comfreywall.entry.request.RecordCrash;
import org.comfreywall.entry.request.ReleaseClaim;
import org.comfreywall.entry.request.ReleaseIsolation;
import org.comfreywall.entry.request.RequestCommand;
import org.comfreywall.entry.request.SendCancel;
import org.comfreywall.entry.request.SendClaimQuery;
import org.comfreywall.entry.request.SendResume;
import org.comfreywall.entry.request.SendSeal;
import org.comfreywall.entry.request.SendStart;
import org.comfreywall.sidecar.attempt.AttemptEvent;
import org.comfreywall.sidecar.attempt.CancelReceived;
import org.comfreywall.sidecar.attempt.ClaimQueryReceived;
import org.comfreywall.sidecar.attempt.ResumeReceived;
import org.comfreywall.sidecar.attempt.SealReceived;
import org.comfreywall.sidecar.attempt.StartReceived;

/**
 * Executes those commands of an entry that address a sidecar or a ledger.
 */
final class EntryDriver {

	private static final Duration CLAIM_TIMEOUT = Duration.ofMillis(300);

	private final Simulation simulation;

	private final EntryNode entry;

	EntryDriver(Simulation simulation, EntryNode entry) {
		this.simulation = simulation;
		this.entry = entry;
	}

	void execute(RequestCommand command) {
		if (!executeOnSidecar(command)) {
			executeOnLedger(command);
		}
	}

	private boolean executeOnSidecar(RequestCommand command) {
		if (command instanceof SendStart start) {
			sendStart(start);
		}
		else if (command instanceof SendSeal seal) {
			send(seal.target().backendServer(), new SealReceived(seal.attempt(), seal.target(), this.entry.link()));
		}
		else if (command instanceof SendClaimQuery query) {
			send(query.backendServer(), new ClaimQueryReceived(query.owner(), query.incarnation(), this.entry.link()));
		}
		else if (command instanceof SendResume resume) {
			send(resume.backendServer(), new ResumeReceived(resume.attempt(), resume.incarnation(),
					resume.nextSequence(), this.entry.link()));
		}
		else if (command instanceof SendCancel cancel) {
			send(cancel.backendServer(), new CancelReceived(cancel.attempt(), cancel.incarnation()));
		}
		else {
			return false;
		}
		return true;
	}

	private void sendStart(SendStart start) {
		SidecarNode sidecar = this.simulation.sidecar(start.target().backendServer().value());
		Operation operation = this.entry.operation(start.attempt()).orElseThrow();
		if (!sidecar.isAlive() && sidecar.incarnation().equals(start.target().incarnation())) {
			this.entry.reportNotSent(start.attempt());
			return;
		}
		StartReceived event = new StartReceived(start.attempt(), start.target(), start.traits(), this.entry.link());
		this.simulation.send(this.entry, sidecar, () -> sidecar.start(event, operation));
	}

	private void send(BackendServerId server, AttemptEvent event) {
		SidecarNode sidecar = this.simulation.sidecar(server.value());
		this.simulation.send(this.entry, sidecar, () -> sidecar.receive(event));
	}

	private void executeOnLedger(RequestCommand command) {
		if (command instanceof AcquireClaim claim) {
			acquireClaim(claim);
		}
		else if (command instanceof FinishClaim finish) {
			callLedger((ledger) -> ledger.claimLedger()
				.recordAnswer(finish.key(), finish.owner(), finish.answer(), ledger.logTime()));
		}
		else if (command instanceof MarkClaimUnknown mark) {
			callLedger((ledger) -> ledger.claimLedger().markUnknown(mark.key(), mark.owner(), ledger.logTime()));
		}
		else if (command instanceof ReleaseClaim release) {
			this.simulation.ledger()
				.callWithRetries(this.entry, (ledger) -> ledger.releaseClaim(release.key(), release.proof()),
						(released) -> this.entry.handle(new ClaimReleased(release.proof(), released)));
		}
		else if (command instanceof AcquireIsolation acquire) {
			this.simulation.ledger()
				.callWithRetries(this.entry,
						(ledger) -> ledger.poisonLedger()
							.acquire(acquire.fingerprint(), acquire.request(), ledger.logTime()),
						(result) -> this.entry
							.handle(new IsolationAnswered(acquire.request(), acquire.fingerprint(), result)));
		}
		else if (command instanceof ReleaseIsolation release) {
			callLedger((ledger) -> ledger.poisonLedger()
				.release(release.fingerprint(), release.request(), release.end(), ledger.logTime()));
		}
		else if (command instanceof RecordCrash crash) {
			this.simulation.ledger()
				.callWithRetries(this.entry,
						LedgerNode.returningEmpty(
								(ledger) -> ledger.poisonLedger().recordCrash(crash.report(), ledger.logTime())),
						(result) -> this.entry.handle(new CrashRecorded(crash.request())));
		}
	}

	private void callLedger(Consumer<LedgerNode> call) {
		this.simulation.ledger().callWithRetries(this.entry, LedgerNode.returningEmpty(call), (result) -> {
		});
	}

	private void acquireClaim(AcquireClaim claim) {
		AtomicBoolean answered = new AtomicBoolean();
		this.simulation.ledger()
			.call(this.entry,
					(ledger) -> ledger.claimLedger()
						.claim(claim.key(), claim.bodyDigest(), claim.request(), claim.target().backendServer(),
								claim.target().incarnation(), ledger.logTime()),
					(result) -> handleClaimResult(claim, result, answered));
		this.simulation.scheduleUnlessRestarted(this.entry, CLAIM_TIMEOUT, () -> {
			if (!answered.get()) {
				this.entry.handle(new ClaimFailed(claim.request(), OperationError.local(ErrorCode.UNAVAILABLE,
						Step.CLAIM, "The claim ledger did not answer within the claim timeout")));
			}
		});
	}

	private void handleClaimResult(AcquireClaim claim, Result<ClaimResult> result, AtomicBoolean answered) {
		answered.set(true);
		result.value()
			.ifPresentOrElse(
					(granted) -> this.entry.handle(new ClaimAnswered(claim.request(), claim.target(), granted)),
					() -> this.entry.handle(new ClaimFailed(claim.request(), result.error().orElseThrow())));
	}

}
