package org.comfreywall.group.moves;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.GroupId;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.util.Preconditions;

/**
 * Starts the reads of accepted plans within the rate limit of the weight store, in
 * descending order of gain per byte across all groups.
 * <p>
 * No read starts before its plan is durable, so a restarted coordinator finds every plan
 * for which a rank may have read weights. A group has at most one unfinished plan; a plan
 * that replaces it keeps the weights that are already staged.
 */
public final class MoveScheduler {

	private final MoveSchedulerSettings settings;

	private final WeightStoreBucket bucket;

	private final DecisionListener listener;

	private final Invariants invariants;

	private final Map<GroupId, PlanProgress> plans = new TreeMap<>();

	private List<MoveCommand> commands = new ArrayList<>();

	/**
	 * Creates a scheduler.
	 * @param settings the settings
	 * @param bucket the rate limit shared by all groups of the deployment
	 * @param listener receives a record of each plan that was staged, resumed, cancelled
	 * or refused
	 * @param invariants checks that reads start after their plan is durable
	 */
	public MoveScheduler(MoveSchedulerSettings settings, WeightStoreBucket bucket, DecisionListener listener,
			Invariants invariants) {
		this.settings = Preconditions.notNull(settings, "settings");
		this.bucket = Preconditions.notNull(bucket, "bucket");
		this.listener = Preconditions.notNull(listener, "listener");
		this.invariants = Preconditions.notNull(invariants, "invariants");
	}

	/**
	 * Handles one event.
	 * @param event the event
	 * @param now the current time in nanoseconds
	 * @return the commands to execute, in order
	 */
	public List<MoveCommand> handle(MoveEvent event, long now) {
		Preconditions.notNull(event, "event");
		this.commands = new ArrayList<>();
		dispatch(event);
		restartOverdueReads(now);
		startReads(now);
		return List.copyOf(this.commands);
	}

	private void dispatch(MoveEvent event) {
		if (event instanceof MoveEvent.PlanAccepted accepted) {
			acceptPlan(accepted.plan());
		}
		else if (event instanceof MoveEvent.PlanSaved saved) {
			find(saved.plan()).ifPresent(this::handlePlanSaved);
		}
		else if (event instanceof MoveEvent.PlanRecovered recovered) {
			recoverPlan(recovered);
		}
		else if (event instanceof MoveEvent.MoveStaged staged) {
			find(staged.move()).ifPresent((plan) -> handleMoveStaged(plan, staged.move().index()));
		}
		else if (event instanceof MoveEvent.MoveFailed failed) {
			find(failed.move()).ifPresent((plan) -> handleReadFailed(plan, failed.move().index()));
		}
		else if (event instanceof MoveEvent.PlanCancelled cancelled) {
			find(cancelled.plan()).ifPresent((plan) -> cancelPlan(plan, cancelled.reason()));
		}
	}

	private void acceptPlan(MovePlan plan) {
		PlanProgress replaced = this.plans.get(plan.id().group());
		if (!isAcceptable(plan, replaced)) {
			recordDecision(plan.id(), "refused", Field.of("moves", plan.moves().size()));
			return;
		}
		Set<Integer> staged = Set.of();
		if (replaced != null) {
			staged = IntStream.range(0, plan.moves().size())
				.filter((index) -> replaced.hasStaged(plan.moves().get(index)))
				.boxed()
				.collect(Collectors.toSet());
			cancelPlan(replaced, "replaced by plan " + plan.id());
		}
		this.plans.put(plan.id().group(), new PlanProgress(plan, staged));
		this.commands.add(new MoveCommand.SavePlan(plan));
	}

	private boolean isAcceptable(MovePlan plan, PlanProgress replaced) {
		boolean isNewer = replaced == null || replaced.id().number() < plan.id().number();
		boolean hasCapacity = replaced != null || this.plans.size() < this.settings.maximumGroups();
		return isNewer && hasCapacity && fitsBucket(plan);
	}

	private boolean fitsBucket(MovePlan plan) {
		return plan.moves().stream().allMatch((move) -> move.bytes() <= this.bucket.burstBytes());
	}

	private void recoverPlan(MoveEvent.PlanRecovered recovered) {
		PlanId id = recovered.plan().id();
		PlanProgress current = this.plans.get(id.group());
		if (!isAcceptable(recovered.plan(), current)) {
			return;
		}
		PlanProgress plan = new PlanProgress(recovered.plan(), recovered.staged());
		this.plans.put(id.group(), plan);
		recordDecision(id, "resumed", Field.of("moves", recovered.plan().moves().size()),
				Field.of("staged", recovered.staged().size()));
		handlePlanSaved(plan);
	}

	private void handlePlanSaved(PlanProgress plan) {
		plan.markSaved();
		completeIfStaged(plan);
	}

	private void handleMoveStaged(PlanProgress plan, int index) {
		plan.markStaged(index);
		completeIfStaged(plan);
	}

	private void completeIfStaged(PlanProgress plan) {
		if (plan.isSaved() && plan.isFullyStaged()) {
			this.plans.remove(plan.id().group());
			this.commands.add(new MoveCommand.PlanStaged(plan.id()));
			recordDecision(plan.id(), "staged");
		}
	}

	private void handleReadFailed(PlanProgress plan, int index) {
		if (plan.state(index) != MoveState.READING || find(plan.id()).isEmpty()) {
			return;
		}
		plan.requeue(index);
		if (plan.attempts(index) >= this.settings.maximumAttempts()) {
			cancelPlan(plan, "move " + index + " failed " + plan.attempts(index) + " times");
		}
	}

	private void cancelPlan(PlanProgress plan, String reason) {
		this.plans.remove(plan.id().group());
		plan.forEachInState(MoveState.READING,
				(index) -> this.commands.add(new MoveCommand.CancelRead(plan.moveId(index))));
		this.commands.add(new MoveCommand.DropPlan(plan.id()));
		recordDecision(plan.id(), "cancelled", Field.of("reason", reason));
	}

	private void restartOverdueReads(long now) {
		long timeout = this.settings.readTimeout().toNanos();
		for (PlanProgress plan : List.copyOf(this.plans.values())) {
			plan.forEachInState(MoveState.READING, (index) -> {
				if (now - plan.readStartedAt(index) >= timeout) {
					this.commands.add(new MoveCommand.CancelRead(plan.moveId(index)));
					handleReadFailed(plan, index);
				}
			});
		}
	}

	private void startReads(long now) {
		Optional<PlanProgress> next = findPlanWithGreatestGain();
		while (next.isPresent()) {
			PlanProgress plan = next.get();
			int index = plan.nextPendingMove();
			long bytes = plan.move(index).bytes();
			if (!this.bucket.tryTake(bytes, now)) {
				this.commands.add(new MoveCommand.ScheduleTick(this.bucket.nanosUntilAvailable(bytes, now)));
				return;
			}
			if (!this.invariants.holds(plan.isSaved(), "plan-durable-before-read", Field.of("plan", plan.id()))) {
				return;
			}
			plan.markReading(index, now);
			this.commands.add(new MoveCommand.StartRead(plan.moveId(index), plan.move(index)));
			next = findPlanWithGreatestGain();
		}
		if (!this.plans.isEmpty()) {
			this.commands.add(new MoveCommand.ScheduleTick(this.settings.readTimeout().toNanos()));
		}
	}

	private Optional<PlanProgress> findPlanWithGreatestGain() {
		PlanProgress best = null;
		for (PlanProgress plan : this.plans.values()) {
			if (plan.isSaved() && plan.nextPendingMove() >= 0
					&& (best == null || nextGainPerByte(plan) > nextGainPerByte(best))) {
				best = plan;
			}
		}
		return Optional.ofNullable(best);
	}

	private static double nextGainPerByte(PlanProgress plan) {
		return plan.move(plan.nextPendingMove()).gainPerByte();
	}

	private Optional<PlanProgress> find(PlanId id) {
		return Optional.ofNullable(this.plans.get(id.group())).filter((plan) -> plan.id().equals(id));
	}

	private Optional<PlanProgress> find(MoveId id) {
		return find(id.plan()).filter((plan) -> plan.hasMove(id.index()));
	}

	private void recordDecision(PlanId id, String result, Field... fields) {
		Field[] all = new Field[fields.length + 1];
		all[0] = Field.of("plan", id);
		System.arraycopy(fields, 0, all, 1, fields.length);
		this.listener.onDecision(DecisionRecord.of(DecisionKind.REBALANCE, id.group().toString(), result, all));
	}

}
