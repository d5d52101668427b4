package org.comfreywall.control.runtime;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import com.codahale.metrics.MetricRegistry;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.time.Clock;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.log.BootstrapBatch;
import org.comfreywall.control.log.LogSettings;
import org.comfreywall.control.state.LedgerCommand;
import org.comfreywall.control.state.OrderTermCodec;
import org.comfreywall.control.state.OrderTermsLedger;
import org.comfreywall.control.state.StateMachine;
import org.comfreywall.control.storage.MemoryStorage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ControlNode}.
 */
class ControlNodeTests {

	private static final ControlNodeSettings SETTINGS = new ControlNodeSettings(new LogSettings(Duration.ofMillis(20),
			Duration.ofMillis(300), 10, 100, 1 << 16, 1000, 1 << 16, 1000, 10, 1 << 10, 100), 1000, 100,
			Duration.ofSeconds(20), 20);

	private final List<InstanceId> instances = IntStream.rangeClosed(1, 3)
		.mapToObj((number) -> InstanceId.of("c" + number))
		.toList();

	private final Map<InstanceId, MemoryStorage> storages = new ConcurrentHashMap<>();

	private final Map<InstanceId, ControlNode> nodes = new ConcurrentHashMap<>();

	private final Invariants invariants = new Invariants();

	@AfterEach
	void stop() {
		this.nodes.values().forEach(ControlNode::close);
		assertThat(this.invariants.violations()).isZero();
	}

	private void startAll() {
		this.instances.forEach(this::start);
	}

	private void start(InstanceId instance) {
		MemoryStorage storage = this.storages.computeIfAbsent(instance,
				(added) -> MemoryStorage.with(BootstrapBatch.STORAGE_ID, BootstrapBatch.of(this.instances)));
		ControlNodeDependencies dependencies = new ControlNodeDependencies(instance, storage,
				new StateMachine(List.of(new OrderTermsLedger())), (message) -> {
					ControlNode peer = this.nodes.get(message.to());
					if (peer != null) {
						peer.receive(message);
					}
				}, Clock.system(), new Random(instance.value().hashCode()), DecisionListener.NONE, this.invariants,
				new MetricRegistry());
		this.nodes.put(instance, ControlNode.start(dependencies, SETTINGS));
	}

	private static Bytes command(String request) {
		Bytes command = OrderTermCodec.encodeRequest("group", InstanceId.of("holder"), request);
		return new LedgerCommand(OrderTermsLedger.NAME, command).encode();
	}

	private static <T> Result<T> await(CompletableFuture<Result<T>> future) throws Exception {
		return future.get(60, TimeUnit.SECONDS);
	}

	private ControlNode leader() {
		while (true) {
			for (ControlNode node : this.nodes.values()) {
				if (node.holdsLease()) {
					return node;
				}
			}
			Thread.onSpinWait();
		}
	}

	private Term propose(String request) throws Exception {
		while (true) {
			Result<Bytes> result = await(leader().propose(command(request)));
			if (result.value().isPresent()) {
				return OrderTermCodec.decode(result.value().get()).orElseThrow().term();
			}
		}
	}

	private static Term newestTerm(StateMachine machine) {
		Bytes query = new LedgerCommand(OrderTermsLedger.NAME, Bytes.ofText("group")).encode();
		return OrderTermCodec.decode(machine.query(query).value().orElseThrow()).orElseThrow().term();
	}

	@Test
	void completesProposalWithAnswerOfLedger() throws Exception {
		startAll();
		assertThat(propose("1")).isEqualTo(Term.of(1));
		assertThat(propose("2")).isEqualTo(Term.of(2));
	}

	@Test
	void readsAcknowledgedChanges() throws Exception {
		startAll();
		Term term = propose("1");
		Result<Term> read = await(leader().read(ControlNodeTests::newestTerm));
		assertThat(read.value()).contains(term);
	}

	@Test
	void refusesProposalAtFollowerWithLeaderAsPeer() throws Exception {
		startAll();
		propose("1");
		InstanceId leader = this.instances.stream()
			.filter((id) -> this.nodes.get(id).holdsLease())
			.findFirst()
			.orElseThrow();
		ControlNode follower = this.nodes.get(this.instances.get((this.instances.indexOf(leader) + 1) % 3));
		assertThat(await(follower.propose(command("2"))).error()).hasValueSatisfying((error) -> {
			assertThat(error.code()).isEqualTo(ErrorCode.UNAVAILABLE);
			assertThat(error.peer()).contains(leader);
		});
	}

	@Test
	void keepsAcknowledgedChangesWhenAllInstancesRestart() throws Exception {
		startAll();
		for (int i = 1; i <= 50; i++) {
			propose("request-" + i);
		}
		this.nodes.values().forEach(ControlNode::close);
		this.nodes.clear();
		startAll();
		assertThat(propose("after")).isEqualTo(Term.of(51));
	}

	@Test
	void refusesCallsAfterClose() throws Exception {
		startAll();
		ControlNode node = this.nodes.get(this.instances.get(0));
		node.close();
		assertThat(await(node.propose(command("1"))).error()).isPresent();
		assertThat(await(node.read(ControlNodeTests::newestTerm)).error()).isPresent();
	}

	@Test
	void failsPendingCallsWhenStorageFails() throws Exception {
		startAll();
		propose("1");
		ControlNode leader = leader();
		this.instances.stream()
			.filter((id) -> this.nodes.get(id) == leader)
			.forEach((id) -> this.storages.get(id).failNextSync());
		assertThat(await(leader.propose(command("2"))).error()).isPresent();
		assertThat(propose("3")).isNotEqualTo(Term.of(1));
	}

}
