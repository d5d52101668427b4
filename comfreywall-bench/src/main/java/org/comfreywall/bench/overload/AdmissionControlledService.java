package org.comfreywall.bench.overload;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.comfreywall.bench.limits.EventQueue;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.entry.admit.AccountWeights;
import org.comfreywall.entry.admit.AdmissionCommand;
import org.comfreywall.entry.admit.AdmissionController;
import org.comfreywall.entry.admit.AdmissionRequest;
import org.comfreywall.entry.admit.AdmissionResult;
import org.comfreywall.entry.admit.AdmissionSettings;
import org.comfreywall.entry.admit.Admitted;
import org.comfreywall.entry.admit.FinishKind;
import org.comfreywall.entry.admit.Queued;
import org.comfreywall.entry.admit.Refused;
import org.comfreywall.entry.admit.ShedRequest;
import org.comfreywall.entry.admit.StartRequest;

/**
 * A service that passes attempts to the backend servers as an {@link AdmissionController}
 * decides, in virtual time.
 */
final class AdmissionControlledService implements ServiceUnderLoad {

	private static final long TICK_NANOS = 5_000_000;

	private final EventQueue events;

	private final BackendServerPool pool;

	private final AttemptListener listener;

	private final AdmissionController controller;

	private final Map<RequestId, ClientAttempt> queued = new HashMap<>();

	AdmissionControlledService(EventQueue events, BackendServerPool pool, AttemptListener listener,
			RandomGenerator random) {
		this.events = events;
		this.pool = pool;
		this.listener = listener;
		this.controller = new AdmissionController(AdmissionSettings.DEFAULT, AccountWeights.EQUAL, random,
				DecisionListener.NONE, new Invariants());
		tick();
	}

	@Override
	public void submit(ClientAttempt attempt) {
		RequestId id = RequestId.of("request-" + attempt.number());
		AdmissionResult result = this.controller.offer(
				new AdmissionRequest(id, attempt.account(), attempt.priority(), 1, attempt.deadline()),
				this.events.now());
		executeCommands(result.commands());
		if (result.decision() instanceof Admitted) {
			startOnPool(id, attempt);
		}
		else if (result.decision() instanceof Queued) {
			this.queued.put(id, attempt);
		}
		else {
			this.listener.onRefused(attempt, ((Refused) result.decision()).retryAfter().toNanos());
		}
	}

	private void startOnPool(RequestId id, ClientAttempt attempt) {
		this.pool.run(attempt, () -> {
			this.listener.onAnswered(attempt);
			executeCommands(this.controller.handleFinished(id, FinishKind.ANSWERED, this.events.now()));
		});
	}

	private void executeCommands(List<AdmissionCommand> commands) {
		for (AdmissionCommand command : commands) {
			if (command instanceof StartRequest start) {
				startOnPool(start.id(), this.queued.remove(start.id()));
			}
			else {
				ShedRequest shed = (ShedRequest) command;
				this.listener.onRefused(this.queued.remove(shed.id()), shed.retryAfter().toNanos());
			}
		}
	}

	private void tick() {
		executeCommands(this.controller.tick(this.events.now()));
		this.events.scheduleAfter(TICK_NANOS, this::tick);
	}

}
