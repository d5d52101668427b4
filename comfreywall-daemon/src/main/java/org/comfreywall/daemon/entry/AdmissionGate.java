package org.comfreywall.daemon.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.lease.LeaseGrant;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Outcome;
import org.comfreywall.common.result.Step;
import org.comfreywall.entry.admit.AccountWeights;
import org.comfreywall.entry.admit.AdmissionCommand;
import org.comfreywall.entry.admit.AdmissionController;
import org.comfreywall.entry.admit.AdmissionRequest;
import org.comfreywall.entry.admit.AdmissionResult;
import org.comfreywall.entry.admit.AdmissionSettings;
import org.comfreywall.entry.admit.Admitted;
import org.comfreywall.entry.admit.FinishKind;
import org.comfreywall.entry.admit.Refused;
import org.comfreywall.entry.admit.ShedRequest;
import org.comfreywall.entry.admit.StartRequest;
import org.comfreywall.entry.limit.GrantorRole;
import org.comfreywall.entry.limit.LimitAdmitted;
import org.comfreywall.entry.limit.LimitDecision;
import org.comfreywall.entry.limit.LimitEnforcer;
import org.comfreywall.entry.limit.LimitPending;
import org.comfreywall.entry.limit.LimitPermit;
import org.comfreywall.entry.limit.LimitRefused;
import org.comfreywall.entry.limit.LimitRequest;
import org.comfreywall.entry.limit.LimitSettings;
import org.comfreywall.entry.limit.SendAsk;
import org.comfreywall.transport.worker.SerialWorker;

/**
 * Lets requests in: first under the limits of their client account, then under the
 * capacity of their service; used on the entry's worker only.
 */
final class AdmissionGate {

	private final EntryParts parts;

	private final SerialWorker worker;

	private final AdmissionListener listener;

	private final LimitEnforcer limits;

	private final Map<ServiceId, AdmissionController> controllers = new HashMap<>();

	private final Map<RequestId, Waiting> waiting = new LinkedHashMap<>();

	private final Map<RequestId, Entered> entered = new HashMap<>();

	AdmissionGate(EntryParts parts, SerialWorker worker, AdmissionListener listener) {
		this.parts = parts;
		this.worker = worker;
		this.listener = listener;
		this.limits = new LimitEnforcer(parts.transport().self().instance(), parts.transport().self().incarnation(),
				LimitSettings.DEFAULT,
				(account) -> configuration().account(account).map((descriptor) -> descriptor.limits()),
				parts.decisions(), new Invariants());
	}

	void offer(ActiveRequest request) {
		LimitRequest wanted = new LimitRequest(request.request().id(), request.request().account(),
				request.expectedTokens());
		decide(request, wanted, this.limits.offer(wanted, now()));
	}

	boolean cancel(RequestId id) {
		if (this.waiting.remove(id) != null) {
			return true;
		}
		Entered known = this.entered.get(id);
		boolean queued = known != null && controller(known.service()).cancel(id);
		if (queued) {
			this.entered.remove(id);
			this.limits.finished(known.permit(), 0, now());
		}
		return queued;
	}

	void finished(ActiveRequest request, Outcome outcome, Optional<OperationError> error) {
		Entered known = this.entered.remove(request.request().id());
		if (known == null) {
			return;
		}
		this.limits.finished(known.permit(), request.spentTokens(), now());
		carryOut(known.service(),
				controller(known.service()).finished(request.request().id(), kind(outcome, error), now()));
	}

	void tick() {
		askForShares();
		List.copyOf(this.waiting.values()).forEach(this::offerAgain);
		this.controllers.forEach((service, controller) -> carryOut(service, controller.tick(now())));
	}

	private void decide(ActiveRequest request, LimitRequest wanted, LimitDecision decision) {
		RequestId id = wanted.id();
		this.waiting.remove(id);
		if (decision instanceof LimitAdmitted admitted) {
			enter(request, admitted.permit());
		}
		else if (decision instanceof LimitPending pending) {
			this.waiting.put(id, new Waiting(request, wanted, pending.until()));
			askForShares();
		}
		else {
			LimitRefused refused = (LimitRefused) decision;
			this.listener.onRefused(id,
					OperationError.local(ErrorCode.LIMIT_EXCEEDED, Step.ADMIT,
							"limit of client account " + wanted.account() + ": " + refused.kind()),
					refused.retryAfter());
		}
	}

	private void offerAgain(Waiting request) {
		decide(request.request(), request.wanted(), this.limits.offerAgain(request.wanted(), request.until(), now()));
	}

	private void enter(ActiveRequest request, LimitPermit permit) {
		RequestId id = request.request().id();
		ServiceId service = request.request().service();
		this.entered.put(id, new Entered(service, permit));
		AdmissionRequest wanted = new AdmissionRequest(id, request.request().account(), request.request().priority(),
				1 + request.expectedTokens(), now() + request.remainingNanos(now()));
		AdmissionResult result = controller(service).offer(wanted, now());
		if (result.decision() instanceof Admitted) {
			this.listener.onAdmitted(id, Duration.ZERO);
		}
		else if (result.decision() instanceof Refused refused) {
			refuse(id, refused.reason().name(), refused.retryAfter());
		}
		carryOut(service, result.commands());
	}

	private void carryOut(ServiceId service, List<AdmissionCommand> commands) {
		for (AdmissionCommand command : new ArrayList<>(commands)) {
			if (command instanceof StartRequest start) {
				this.listener.onAdmitted(start.id(), start.queued());
			}
			else if (command instanceof ShedRequest shed) {
				refuse(shed.id(), shed.reason().name(), shed.retryAfter());
			}
		}
	}

	private void refuse(RequestId id, String reason, Duration retryAfter) {
		Entered known = this.entered.remove(id);
		if (known != null) {
			this.limits.finished(known.permit(), 0, now());
		}
		this.listener.onRefused(id,
				OperationError.local(ErrorCode.OVERLOADED, Step.ADMIT, "the service is overloaded: " + reason),
				retryAfter);
	}

	private void ask(SendAsk command) {
		GrantorRole role = command.grantor();
		this.parts.control()
			.lease(command)
			.thenAccept((result) -> result.value().ifPresent((grant) -> this.worker.offer(() -> granted(role, grant))));
	}

	private void askForShares() {
		this.limits.tick(now()).forEach((command) -> ask((SendAsk) command));
	}

	private void granted(GrantorRole role, LeaseGrant grant) {
		Collection<AccountId> served = this.limits.granted(role, grant, now());
		for (Waiting request : List.copyOf(this.waiting.values())) {
			if (served.contains(request.wanted().account())) {
				offerAgain(request);
			}
		}
	}

	private AdmissionController controller(ServiceId service) {
		return this.controllers.computeIfAbsent(service, (unused) -> new AdmissionController(AdmissionSettings.DEFAULT,
				AccountWeights.EQUAL, this.parts.random(), this.parts.decisions(), new Invariants()));
	}

	private Configuration configuration() {
		return this.parts.configuration().get();
	}

	private long now() {
		return this.parts.clock().nanoTime();
	}

	private static FinishKind kind(Outcome outcome, Optional<OperationError> error) {
		if (outcome == Outcome.COMPLETED) {
			return FinishKind.ANSWERED;
		}
		return error.map(OperationError::code).map(AdmissionGate::kind).orElse(FinishKind.FAILED);
	}

	private static FinishKind kind(ErrorCode code) {
		return switch (code) {
			case DEADLINE_EXCEEDED, OVERLOADED -> FinishKind.OVERLOADED;
			case CANCELLED -> FinishKind.CANCELLED;
			default -> FinishKind.FAILED;
		};
	}

	/**
	 * A request that waits for a share of a limit.
	 *
	 * @param request the request
	 * @param wanted what it asks for
	 * @param until when its wait ends, in nanoseconds
	 */
	private record Waiting(ActiveRequest request, LimitRequest wanted, long until) {

	}

	/**
	 * A request that holds a permit.
	 *
	 * @param service its service
	 * @param permit the permit
	 */
	private record Entered(ServiceId service, LimitPermit permit) {

	}

}
