package org.comfreywall.bench.routing;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.decision.DecisionHistory;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.entry.prefix.BlockHashes;
import org.comfreywall.entry.prefix.BlocksStored;
import org.comfreywall.entry.prefix.PromptChain;
import org.comfreywall.entry.route.AttemptFinished;
import org.comfreywall.entry.route.AttemptSent;
import org.comfreywall.entry.route.CacheEventReceived;
import org.comfreywall.entry.route.EntriesChanged;
import org.comfreywall.entry.route.LoadReport;
import org.comfreywall.entry.route.LoadReported;
import org.comfreywall.entry.route.QueuedTokens;
import org.comfreywall.entry.route.RouteChoice;
import org.comfreywall.entry.route.RouteRequest;
import org.comfreywall.entry.route.Router;
import org.comfreywall.entry.route.RouterSettings;
import org.comfreywall.entry.route.ServerAnnounced;
import org.comfreywall.entry.route.ServerProfile;
import org.comfreywall.entry.route.SessionId;
import org.comfreywall.entry.route.TimePassed;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Measures the time and allocation of one routing decision, including its decision
 * record.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class RouterBenchmark {

	private static final Incarnation INCARNATION = Incarnation.of(1);

	private static final int BLOCKS = 40;

	private static final int BLOCK_TOKENS = 64;

	/** The number of backend servers announced to the router. */
	@Param({ "16", "4400" })
	public int workers;

	private final PromptChain chain = PromptChain.of(new SplittableRandom(1).longs(BLOCKS).toArray(), BLOCK_TOKENS);

	private Router router;

	private long now;

	private int requests;

	/**
	 * Announces the backend servers and sends the router a load report and the cached
	 * prefixes of each backend server in its subset.
	 */
	@Setup
	public void setUp() {
		this.now = Duration.ofMinutes(1).toNanos();
		this.router = new Router(InstanceId.of("entry-0"), RouterSettings.DEFAULTS, (domain) -> 500_000, new Random(1),
				new DecisionHistory(1024));
		int entries = Math.max(4, this.workers / 4);
		Set<InstanceId> entryIds = new HashSet<>();
		IntStream.range(0, entries).forEach((i) -> entryIds.add(InstanceId.of("entry-" + i)));
		this.router.on(new EntriesChanged(entryIds), 0);
		for (int i = 0; i < this.workers; i++) {
			this.router.on(new ServerAnnounced(BackendServerId.of("worker-" + i), INCARNATION,
					FailureDomainId.of("domain-" + i % 20), ServerProfile.DEFAULT), 0);
		}
		this.router.on(new TimePassed(), 0);
		this.router.subset().forEach(this::reportLoadAndCache);
	}

	/**
	 * Chooses a backend server for a request with a prompt of 40 blocks.
	 * @return the choice
	 */
	@Benchmark
	public Optional<RouteChoice> choose() {
		return this.router.choose(nextRequest(), this.now);
	}

	/**
	 * Chooses a backend server, records the request as sent and as finished.
	 * @return the choice
	 */
	@Benchmark
	public RouteChoice chooseSendAndEnd() {
		this.now += 1_000_000;
		RouteRequest request = nextRequest();
		RouteChoice choice = this.router.choose(request, this.now).orElseThrow();
		AttemptId attempt = new AttemptId(request.request(), 1);
		this.router.on(new AttemptSent(attempt, request, choice), this.now);
		this.router.on(new AttemptFinished(attempt), this.now);
		return choice;
	}

	private RouteRequest nextRequest() {
		this.requests++;
		SessionId session = new SessionId(AccountId.of("account"), "session-" + this.requests % 1000);
		return new RouteRequest(RequestId.of("request-" + this.requests), PriorityClass.STANDARD,
				BLOCKS * BLOCK_TOKENS + 100, this.chain, Optional.of(session), Set.of());
	}

	private void reportLoadAndCache(BackendServerId server) {
		int number = Integer.parseInt(server.value().substring(server.value().indexOf('-') + 1));
		this.router.on(new LoadReported(new LoadReport(server, INCARNATION, 1, this.now, number % 32, 0,
				new QueuedTokens(0, number * 100L % 5000, 0), 20_000_000, 8000, 5)), this.now);
		long[] cached = IntStream.range(0, 1 + number % BLOCKS).mapToLong(this.chain::hash).toArray();
		this.router.on(new CacheEventReceived(new BlocksStored(server, INCARNATION, 1, BlockHashes.of(cached))),
				this.now);
	}

}
