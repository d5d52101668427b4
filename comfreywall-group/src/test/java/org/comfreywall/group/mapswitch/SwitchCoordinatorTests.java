package org.comfreywall.group.mapswitch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.group.map.MapRef;
import org.comfreywall.group.map.MapVersion;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SwitchCoordinator}.
 */
class SwitchCoordinatorTests {

	private static final CoordinatorSettings SETTINGS = new CoordinatorSettings(10, 1000, 400, 10_000, 20, 3);

	private static final MapRef FIRST = new MapRef(MapVersion.of(1), "first");

	private static final MapRef SECOND = new MapRef(MapVersion.of(2), "second");

	private final DecisionLedger ledger = new DecisionLedger(2, LedgerState.EMPTY);

	private final List<AgentOrder> orders = new ArrayList<>();

	private final List<SwitchEnded> ended = new ArrayList<>();

	private final Invariants invariants = new Invariants();

	private SwitchCoordinator coordinator = coordinator(1);

	private long now;

	@BeforeEach
	void formGroup() {
		handle(new CoordinatorStarted());
		handle(new MapInstallRequested(FIRST));
		handle(new AssignmentRequested(0, member(0)));
		handle(new AssignmentRequested(1, member(1)));
		report(new StepProgress(0, member(0), 50, 0));
		report(new StepProgress(1, member(1), 51, 0));
		this.orders.clear();
	}

	@Test
	void armsOnlyWhenAllRanksStagedTheMap() {
		handle(new SwitchRequested(SECOND));
		handle(new CoordinatorTick());
		report(new MapStaged(0, member(0), SECOND));
		assertThat(this.orders).hasSize(2).allMatch(StageMap.class::isInstance);

		report(new MapStaged(1, member(1), SECOND));

		assertThat(armOrder().boundary().firstStep()).isEqualTo(51 + 400 / 20 + 3);
	}

	@Test
	void sendsCommitOnlyWhenAllRanksAreArmed() {
		SwitchId id = stageAndArm();
		report(new SwitchArmed(0, member(0), id));
		assertThat(this.orders).noneMatch(ReleaseSwitch.class::isInstance);

		report(new SwitchArmed(1, member(1), id));

		assertThat(sentDecision()).contains(new CommitDecision(armOrder().boundary()));
		report(new SwitchReleased(0, member(0), id, 0));
		report(new SwitchReleased(1, member(1), id, 0));
		assertThat(this.ended).containsExactly(new SwitchEnded(SECOND, SwitchOutcome.COMMITTED));
	}

	@Test
	void abortsWhenRankIsNotArmedWithinHalfOfTheLead() {
		SwitchId id = stageAndArm();
		report(new SwitchArmed(0, member(0), id));

		this.now += 200;
		handle(new CoordinatorTick());

		assertThat(sentDecision()).contains(new AbortDecision(id));
	}

	@Test
	void abortsWhenArmedRankIsReplaced() {
		SwitchId id = stageAndArm();
		report(new SwitchArmed(0, member(0), id));

		handle(new AssignmentRequested(0, new Member(BackendServerId.of("spare"), Incarnation.of(1))));

		assertThat(sentDecision()).contains(new AbortDecision(id));
	}

	@Test
	void ignoresArmedReportOfPreviousIncarnation() {
		SwitchId id = stageAndArm();
		report(new SwitchArmed(0, member(0), id));

		report(new SwitchArmed(1, new Member(BackendServerId.of("server-1"), Incarnation.of(0)), id));

		assertThat(sentDecision()).isEmpty();
	}

	@Test
	void successorAbortsUndecidedAttemptWhenQueried() {
		SwitchId id = stageAndArm();
		this.coordinator = coordinator(2);
		handle(new CoordinatorStarted());

		report(new DecisionQuery(0, member(0), id));

		assertThat(sentDecision()).contains(new AbortDecision(id));
	}

	@Test
	void successorKeepsCommitOfItsPredecessor() {
		SwitchId id = stageAndArm();
		report(new SwitchArmed(0, member(0), id));
		report(new SwitchArmed(1, member(1), id));
		this.orders.clear();
		this.coordinator = coordinator(2);
		handle(new CoordinatorStarted());

		report(new DecisionQuery(0, member(0), id));

		assertThat(sentDecision()).containsInstanceOf(CommitDecision.class);
	}

	@Test
	void stopsWhenLaterTermIsOpened() {
		stageAndArm();
		this.ledger.apply(new OpenTerm(Term.of(2)));

		this.now += 200;
		handle(new CoordinatorTick());

		assertThat(this.ended).containsExactly(new SwitchEnded(SECOND, SwitchOutcome.TERM_LOST));
		assertThat(this.coordinator.handle(new CoordinatorTick(), this.now + 1000)).isEmpty();
	}

	private SwitchId stageAndArm() {
		handle(new SwitchRequested(SECOND));
		handle(new CoordinatorTick());
		report(new MapStaged(0, member(0), SECOND));
		report(new MapStaged(1, member(1), SECOND));
		return armOrder().boundary().attemptId();
	}

	private ArmSwitch armOrder() {
		return this.orders.stream()
			.filter(ArmSwitch.class::isInstance)
			.map(ArmSwitch.class::cast)
			.findFirst()
			.orElseThrow();
	}

	private Optional<SwitchDecision> sentDecision() {
		return this.orders.stream()
			.filter(ReleaseSwitch.class::isInstance)
			.map((order) -> ((ReleaseSwitch) order).decision())
			.findFirst();
	}

	private void report(AgentReport report) {
		handle(new ReportReceived(report));
	}

	private void handle(CoordinatorEvent event) {
		for (CoordinatorCommand command : this.coordinator.handle(event, this.now)) {
			if (command instanceof WriteLedger write) {
				handle(new WriteDurable(write.write(), this.ledger.apply(write.write())));
			}
			else if (command instanceof SendOrder send) {
				this.orders.add(send.order());
			}
			else if (command instanceof SwitchEnded end) {
				this.ended.add(end);
			}
		}
	}

	private SwitchCoordinator coordinator(long term) {
		return new SwitchCoordinator("g", Term.of(term), 2, SETTINGS, DecisionListener.NONE, this.invariants);
	}

	private static Member member(int rank) {
		return new Member(BackendServerId.of("server-" + rank), Incarnation.of(1));
	}

}
