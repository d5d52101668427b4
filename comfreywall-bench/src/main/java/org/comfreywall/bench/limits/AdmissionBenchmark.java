package org.comfreywall.bench.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.AccountId;
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
import org.comfreywall.entry.admit.StartRequest;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Measures the time of one admission decision together with the end of one request, while
 * other requests are queued.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class AdmissionBenchmark {

	private static final long ARRIVAL_INTERVAL_NANOS = 30_000;

	private static final long REQUEST_TIMEOUT_NANOS = 2_000_000_000L;

	/** The number of backend servers, each of which runs four requests. */
	@Param({ "16", "4400" })
	private int workers;

	private final Deque<RequestId> running = new ArrayDeque<>();

	private final AccountId[] accounts = new AccountId[5300];

	private AdmissionController controller;

	private long now;

	private long requestNumber;

	/**
	 * Fills the controller until requests are queued.
	 */
	@Setup
	public void fill() {
		int concurrency = 4 * this.workers;
		AdmissionSettings defaults = AdmissionSettings.DEFAULT;
		AdmissionSettings settings = new AdmissionSettings(defaults.queueTimeLimits(), defaults.maxQueued(),
				concurrency, concurrency, concurrency, defaults.adaptInterval(), defaults.latencyTolerance());
		this.controller = new AdmissionController(settings, AccountWeights.EQUAL, new SplittableRandom(1),
				DecisionListener.NONE, new Invariants());
		for (int i = 0; i < this.accounts.length; i++) {
			this.accounts[i] = AccountId.of("account-" + i);
		}
		for (int i = 0; i < concurrency + 1000; i++) {
			offerRequest();
		}
	}

	/**
	 * Offers one request and ends another.
	 * @return the decision
	 */
	@Benchmark
	public AdmissionResult admit() {
		AdmissionResult result = offerRequest();
		for (AdmissionCommand command : this.controller.handleFinished(this.running.removeFirst(), FinishKind.ANSWERED,
				this.now)) {
			if (command instanceof StartRequest start) {
				this.running.addLast(start.id());
			}
		}
		return result;
	}

	private AdmissionResult offerRequest() {
		this.now += ARRIVAL_INTERVAL_NANOS;
		this.requestNumber++;
		RequestId id = RequestId.of("request-" + this.requestNumber);
		AccountId account = this.accounts[(int) (this.requestNumber % this.accounts.length)];
		PriorityClass priority = PriorityClass.values()[(int) (this.requestNumber % 3)];
		AdmissionResult result = this.controller
			.offer(new AdmissionRequest(id, account, priority, 1, this.now + REQUEST_TIMEOUT_NANOS), this.now);
		if (result.decision() instanceof Admitted) {
			this.running.addLast(id);
		}
		return result;
	}

}
