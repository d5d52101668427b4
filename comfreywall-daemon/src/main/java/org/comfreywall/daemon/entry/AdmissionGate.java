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
import org.comfreywall.entry.limit.SendLeaseRequest;
import org.comfreywall.transport.worker.SerialWorker;

/**
 * Admits requests in two steps: first against the limits of their client account, then
 * against the capacity of their service. Confined to the entry's worker thread.
 */
final class AdmissionGate {

	private final EntryParts parts;

	private final SerialWorker worker;

	private final AdmissionListener listener;

	private final LimitEnforcer limitEnforcer;

	private final Map<ServiceId, AdmissionController> controllers = new HashMap<>();

	private final Map<RequestId, PendingRequest> pendingRequests = new LinkedHashMap<>();

	private final Map<RequestId, PermitHolder> permitHolders = new HashMap<>();

	AdmissionGate(EntryParts parts, SerialWorker worker, AdmissionListener listener) {
		this.parts = parts;
		this.worker = worker;
		this.listener = listener;
		this.limitEnforcer = new LimitEnforcer(parts.transport().self().instance(),
				parts.transport().self().incarnation(), LimitSettings.DEFAULT,
				(account) -> configuration().account(account).map((descriptor) -> descriptor.limits()),
				parts.decisions(), new Invariants());
	}

	void offer(ActiveRequest request) {
		LimitRequest limitRequest = new LimitRequest(request.request().id(), request.request().account(),
				request.expectedTokens());
		applyDecision(request, limitRequest, this.limitEnforcer.offer(limitRequest, now()));
	}

	/**
	 * Cancels a request that waits for a share of its limit or for capacity.
	 * @param id the request
	 * @return {@code true} if it was waiting and is removed, {@code false} if it is
	 * running or unknown
	 */
	boolean cancel(RequestId id) {
		if (this.pendingRequests.remove(id) != null) {
			return true;
		}
		PermitHolder holder = this.permitHolders.get(id);
		boolean queued = holder != null && controller(holder.service()).cancel(id);
		if (queued) {
			this.permitHolders.remove(id);
			this.limitEnforcer.returnPermit(holder.permit(), 0, now());
		}
		return queued;
	}

	void handleFinished(ActiveRequest request, Outcome outcome, Optional<OperationError> error) {
		PermitHolder holder = this.permitHolders.remove(request.request().id());
		if (holder == null) {
			return;
		}
		this.limitEnforcer.returnPermit(holder.permit(), request.spentTokens(), now());
		execute(holder.service(),
				controller(holder.service()).handleFinished(request.request().id(), finishKind(outcome, error), now()));
	}

	void tick() {
		sendDueLeaseRequests();
		List.copyOf(this.pendingRequests.values()).forEach(this::retryPending);
		this.controllers.forEach((service, controller) -> execute(service, controller.tick(now())));
	}

	private void applyDecision(ActiveRequest request, LimitRequest limitRequest, LimitDecision decision) {
		RequestId id = limitRequest.id();
		this.pendingRequests.remove(id);
		if (decision instanceof LimitAdmitted admitted) {
			offerToController(request, admitted.permit());
		}
		else if (decision instanceof LimitPending pending) {
			this.pendingRequests.put(id, new PendingRequest(request, limitRequest, pending.waitUntil()));
			sendDueLeaseRequests();
		}
		else {
			LimitRefused refused = (LimitRefused) decision;
			this.listener.onRefused(id,
					OperationError.local(ErrorCode.LIMIT_EXCEEDED, Step.ADMIT,
							"limit exceeded for client account " + limitRequest.account() + ": " + refused.kind()),
					refused.retryAfter());
		}
	}

	private void retryPending(PendingRequest request) {
		applyDecision(request.request(), request.limitRequest(),
				this.limitEnforcer.offerAgain(request.limitRequest(), request.waitUntil(), now()));
	}

	private void offerToController(ActiveRequest request, LimitPermit permit) {
		RequestId id = request.request().id();
		ServiceId service = request.request().service();
		this.permitHolders.put(id, new PermitHolder(service, permit));
		// The cost is in tokens. A request to a plain service has 0 expected tokens, but
		// a
		// cost must be above zero.
		AdmissionRequest admission = new AdmissionRequest(id, request.request().account(), request.request().priority(),
				1 + request.expectedTokens(), now() + request.remainingNanos(now()));
		AdmissionResult result = controller(service).offer(admission, now());
		if (result.decision() instanceof Admitted) {
			this.listener.onAdmitted(id, Duration.ZERO);
		}
		else if (result.decision() instanceof Refused refused) {
			refuse(id, refused.reason().name(), refused.retryAfter());
		}
		execute(service, result.commands());
	}

	private void execute(ServiceId service, List<AdmissionCommand> commands) {
		for (AdmissionCommand command : new ArrayList<>(commands)) {
			if (command instanceof StartRequest start) {
				this.listener.onAdmitted(start.id(), start.queueTime());
			}
			else if (command instanceof ShedRequest shed) {
				refuse(shed.id(), shed.reason().name(), shed.retryAfter());
			}
		}
	}

	private void refuse(RequestId id, String reason, Duration retryAfter) {
		PermitHolder holder = this.permitHolders.remove(id);
		if (holder != null) {
			this.limitEnforcer.returnPermit(holder.permit(), 0, now());
		}
		this.listener.onRefused(id,
				OperationError.local(ErrorCode.OVERLOADED, Step.ADMIT, "the service is overloaded: " + reason),
				retryAfter);
	}

	private void sendLeaseRequest(SendLeaseRequest command) {
		GrantorRole role = command.grantor();
		// A failed request is not retried here: a later tick creates the next one.
		this.parts.control()
			.requestLease(command)
			.thenAccept(
					(result) -> result.value().ifPresent((grant) -> this.worker.offer(() -> handleGrant(role, grant))));
	}

	private void sendDueLeaseRequests() {
		this.limitEnforcer.tick(now()).forEach((command) -> sendLeaseRequest((SendLeaseRequest) command));
	}

	private void handleGrant(GrantorRole role, LeaseGrant grant) {
		Collection<AccountId> accountsToRetry = this.limitEnforcer.handleGrant(role, grant, now());
		for (PendingRequest request : List.copyOf(this.pendingRequests.values())) {
			if (accountsToRetry.contains(request.limitRequest().account())) {
				retryPending(request);
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

	private static FinishKind finishKind(Outcome outcome, Optional<OperationError> error) {
		if (outcome == Outcome.COMPLETED) {
			return FinishKind.ANSWERED;
		}
		return error.map(OperationError::code).map(AdmissionGate::finishKind).orElse(FinishKind.FAILED);
	}

	private static FinishKind finishKind(ErrorCode code) {
		return switch (code) {
			case DEADLINE_EXCEEDED, OVERLOADED -> FinishKind.OVERLOADED;
			case CANCELLED -> FinishKind.CANCELLED;
			default -> FinishKind.FAILED;
		};
	}

	/**
	 * A request that waits until this entry receives a share of its client account's
	 * limit.
	 *
	 * @param request the request
	 * @param limitRequest the amounts that it needs
	 * @param waitUntil the time at which it is refused if no share has arrived, in
	 * nanoseconds on the entry's monotonic clock
	 */
	private record PendingRequest(ActiveRequest request, LimitRequest limitRequest, long waitUntil) {

	}

	/**
	 * A request that holds a limit permit and either waits for capacity or runs.
	 *
	 * @param service the service of the request
	 * @param permit the permit, returned when the request ends
	 */
	private record PermitHolder(ServiceId service, LimitPermit permit) {

	}

}
