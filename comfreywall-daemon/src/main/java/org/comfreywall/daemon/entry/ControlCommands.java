package org.comfreywall.daemon.entry;

import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Function;

import org.comfreywall.common.claim.ClaimResult;
import org.comfreywall.common.result.Result;
import org.comfreywall.entry.request.AcquireClaim;
import org.comfreywall.entry.request.AcquireIsolation;
import org.comfreywall.entry.request.ClaimAnswered;
import org.comfreywall.entry.request.ClaimFailed;
import org.comfreywall.entry.request.ClaimReleased;
import org.comfreywall.entry.request.CrashRecorded;
import org.comfreywall.entry.request.FinishClaim;
import org.comfreywall.entry.request.FlightAnswered;
import org.comfreywall.entry.request.IsolationAnswered;
import org.comfreywall.entry.request.MarkClaimUnknown;
import org.comfreywall.entry.request.RecordCrash;
import org.comfreywall.entry.request.ReleaseClaim;
import org.comfreywall.entry.request.ReleaseIsolation;
import org.comfreywall.entry.request.ReportFlightEnd;
import org.comfreywall.entry.request.RequestCommand;
import org.comfreywall.entry.request.RequestEvent;
import org.comfreywall.entry.request.RequestFlightPermit;

/**
 * Sends request commands to the control instances and publishes their replies as request
 * events.
 */
final class ControlCommands {

	private final ControlPort control;

	private final Consumer<RequestEvent> events;

	/**
	 * Creates an executor.
	 * @param control sends the commands to the control instances
	 * @param events receives the replies as events, on any thread
	 */
	ControlCommands(ControlPort control, Consumer<RequestEvent> events) {
		this.control = control;
		this.events = events;
	}

	void execute(RequestCommand command) {
		if (command instanceof AcquireClaim claim) {
			publishReply(this.control.acquireClaim(claim), (result) -> toClaimEvent(claim, result));
		}
		else if (command instanceof FinishClaim finish) {
			this.control.finishClaim(finish);
		}
		else if (command instanceof MarkClaimUnknown unknown) {
			this.control.markClaimUnknown(unknown);
		}
		else if (command instanceof ReleaseClaim release) {
			publishReply(this.control.releaseClaim(release),
					(result) -> new ClaimReleased(release.proof(), result.value().isPresent()));
		}
		else if (command instanceof RequestFlightPermit flight) {
			publishReply(this.control.requestFlightPermit(flight.fingerprint(), flight.request(), flight.cleared()),
					(permit) -> new FlightAnswered(flight.request(), permit));
		}
		else if (command instanceof ReportFlightEnd flight) {
			this.control.reportFlightEnd(flight.fingerprint(), flight.request(), flight.end());
		}
		else if (command instanceof ReleaseIsolation release) {
			this.control.releaseIsolation(release);
		}
		else if (command instanceof RecordCrash crash) {
			publishReply(this.control.recordCrash(crash.report()), (result) -> new CrashRecorded(crash.request()));
		}
		else if (command instanceof AcquireIsolation isolation) {
			acquireIsolation(isolation);
		}
	}

	/**
	 * Requests the slot for an isolated run. A failed request publishes no event.
	 * @param isolation the command
	 */
	private void acquireIsolation(AcquireIsolation isolation) {
		this.control.acquireIsolation(isolation.fingerprint(), isolation.request())
			.thenAccept((result) -> result.value()
				.ifPresent((granted) -> this.events
					.accept(new IsolationAnswered(isolation.request(), isolation.fingerprint(), granted))));
	}

	private <T> void publishReply(CompletionStage<T> reply, Function<T, RequestEvent> event) {
		reply.thenAccept((value) -> this.events.accept(event.apply(value)));
	}

	private static RequestEvent toClaimEvent(AcquireClaim claim, Result<ClaimResult> result) {
		return result.value()
			.<RequestEvent>map((value) -> new ClaimAnswered(claim.request(), claim.target(), value))
			.orElseGet(() -> new ClaimFailed(claim.request(), result.error().orElseThrow()));
	}

}
