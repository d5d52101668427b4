package org.comfreywall.bench.life;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Term;
import org.comfreywall.group.life.EngineActivity;
import org.comfreywall.group.life.GroupCommand;
import org.comfreywall.group.life.GroupEvent;
import org.comfreywall.group.life.GroupLifecycle;
import org.comfreywall.group.life.GroupState;
import org.comfreywall.group.life.GroupTick;
import org.comfreywall.group.life.HeartbeatReceived;
import org.comfreywall.group.life.LifecycleSettings;
import org.comfreywall.group.life.MemberAnnounced;
import org.comfreywall.group.life.MembershipDurable;
import org.comfreywall.group.life.ProbeAnswered;
import org.comfreywall.group.life.ProbeFailed;
import org.comfreywall.group.life.ProbeMember;
import org.comfreywall.group.life.ReleaseMember;
import org.comfreywall.group.life.RequestAssignment;
import org.comfreywall.group.mapswitch.AssignMember;
import org.comfreywall.group.mapswitch.DecisionLedger;
import org.comfreywall.group.mapswitch.LedgerState;
import org.comfreywall.group.mapswitch.Member;
import org.comfreywall.group.mapswitch.OpenTerm;

/**
 * One group's servers, ledger and life core in virtual time, one tick after the other.
 */
final class LifeWorld {

	static final long TICK_NANOS = 10_000_000;

	private static final long HEARTBEAT_TICKS = 5;

	private static final long STEP_TICKS = 3;

	private static final Term TERM = Term.of(1);

	private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>(
			Comparator.comparingLong(Delivery::at).thenComparingLong(Delivery::order));

	private final List<String> violations = new ArrayList<>();

	private final LifecycleSettings settings;

	private final RandomGenerator random;

	private final int ranks;

	private final List<FakeMember> members;

	private final DecisionLedger ledger;

	private final GroupLifecycle life;

	private long slowestMessageNanos = TICK_NANOS;

	private long now;

	private long tick;

	private long order;

	private long step;

	private long replacements;

	LifeWorld(int ranks, int servers, LifecycleSettings settings, RandomGenerator random) {
		this.ranks = ranks;
		this.settings = settings;
		this.random = random;
		this.members = IntStream.range(0, servers).mapToObj((i) -> new FakeMember("server-" + i)).toList();
		this.ledger = new DecisionLedger(ranks, LedgerState.EMPTY);
		this.ledger.apply(new OpenTerm(TERM));
		this.life = new GroupLifecycle("group", ranks, settings, DecisionListener.NONE);
	}

	long now() {
		return this.now;
	}

	long step() {
		return this.step;
	}

	long replacements() {
		return this.replacements;
	}

	GroupState state() {
		return this.life.state();
	}

	List<String> violations() {
		return this.violations;
	}

	FakeMember anyMember() {
		return this.members.get(this.random.nextInt(this.members.size()));
	}

	void slowestMessage(long nanos) {
		this.slowestMessageNanos = nanos;
	}

	void runTick() {
		this.tick++;
		this.now += TICK_NANOS;
		while (!this.deliveries.isEmpty() && this.deliveries.peek().at() <= this.now) {
			handle(this.deliveries.remove().event());
		}
		advance();
		if (this.tick % HEARTBEAT_TICKS == 0) {
			this.members.forEach(this::report);
		}
		handle(new GroupTick());
	}

	private void advance() {
		if (this.tick % STEP_TICKS == 0 && heldBack() == 0 && this.ledger.state().members().size() == this.ranks) {
			this.step++;
		}
	}

	private long heldBack() {
		return this.ledger.state().members().values().stream().filter((member) -> !computes(member)).count();
	}

	private boolean computes(Member member) {
		return find(member).filter((fake) -> !fake.isDead(this.now) && !fake.isStalled(this.now)).isPresent();
	}

	private Optional<FakeMember> find(Member member) {
		return this.members.stream().filter((fake) -> fake.is(member)).findFirst();
	}

	private void report(FakeMember fake) {
		if (fake.isDead(this.now) || fake.isSilent(this.now)) {
			return;
		}
		if (this.ledger.state().members().containsValue(fake.member())) {
			boolean waits = heldBack() > 0 && !fake.isStalled(this.now);
			EngineActivity activity = waits ? EngineActivity.WAITING_FOR_PEERS : EngineActivity.COMPUTING;
			fake.reported(this.now, this.step, activity);
			send(new HeartbeatReceived(fake.member(), this.step, activity));
		}
		else {
			send(new MemberAnnounced(fake.member()));
		}
	}

	private void send(GroupEvent event) {
		this.order++;
		this.deliveries.add(new Delivery(this.now + this.random.nextLong(this.slowestMessageNanos), this.order, event));
	}

	private void handle(GroupEvent event) {
		this.life.handle(event, this.now).forEach(this::carryOut);
	}

	private void carryOut(GroupCommand command) {
		if (command instanceof RequestAssignment choose) {
			choose(choose);
		}
		else if (command instanceof ProbeMember probe) {
			boolean alive = find(probe.member()).filter((fake) -> !fake.isDead(this.now)).isPresent();
			send(alive ? new ProbeAnswered(probe.member()) : new ProbeFailed(probe.member()));
		}
		else if (command instanceof ReleaseMember released) {
			find(released.member()).ifPresent(FakeMember::restart);
		}
	}

	private void choose(RequestAssignment choose) {
		Member present = this.ledger.state().members().get(choose.rank());
		if (present != null && !present.equals(choose.member())) {
			this.replacements++;
			checkReason(present, choose);
		}
		LedgerState state = this.ledger.apply(new AssignMember(TERM, choose.rank(), choose.member())).state();
		checkServers(state);
		send(new MembershipDurable(state));
	}

	private void checkReason(Member present, RequestAssignment choose) {
		Optional<FakeMember> fake = find(present).filter((found) -> !found.isDead(this.now));
		boolean stalled = fake.filter(this::stalledLong).isPresent();
		if (fake.isPresent() && !stalled) {
			this.violations.add(present + " was replaced by " + choose.member() + " though it runs, at " + this.now);
		}
	}

	private boolean stalledLong(FakeMember fake) {
		return fake.stallLength(this.now) >= this.settings.replaceNanos() - this.slowestMessageNanos
				&& !fake.showedRecoveryBefore(this.now - this.slowestMessageNanos);
	}

	private void checkServers(LedgerState state) {
		Set<BackendServerId> servers = new HashSet<>();
		state.members().values().forEach((member) -> {
			if (!servers.add(member.server())) {
				this.violations.add(member.server() + " holds two ranks");
			}
		});
	}

	private record Delivery(long at, long order, GroupEvent event) {

	}

}
