package org.comfreywall.sidecar.fence;

import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Preconditions;

/**
 * Rejects orders whose fencing number is lower than the highest one admitted.
 * <p>
 * The number is not persisted. Unless the engine checks numbers itself, a new fence
 * admits no order until a quorum has confirmed the number of the last order issued;
 * otherwise a restarted sidecar could admit an order of a former leader. Orders must
 * reach the engine one at a time and in the order of their admission, so the next one is
 * admitted only after {@link #endOrder}. Not thread-safe.
 */
public final class OrderFence {

	private final InstanceId self;

	private final EngineFencing fencing;

	private final Invariants invariants = new Invariants();

	private final DecisionListener decisions;

	private FencingNumber currentNumber = FencingNumber.ZERO;

	private boolean floorConfirmed;

	private boolean orderInProgress;

	/**
	 * Creates a fence without a known number.
	 * @param self the instance of the sidecar
	 * @param fencing which process checks the numbers
	 * @param decisions receives a record of each decision
	 */
	public OrderFence(InstanceId self, EngineFencing fencing, DecisionListener decisions) {
		this.self = Preconditions.notNull(self, "self");
		this.fencing = Preconditions.notNull(fencing, "fencing");
		this.decisions = Preconditions.notNull(decisions, "decisions");
	}

	/**
	 * Raises the current number to that of the last order issued. A quorum must have
	 * confirmed it after this fence was created.
	 * @param floor the lowest number to admit; a lower one than the current number has no
	 * effect
	 */
	public void raiseFloor(FencingNumber floor) {
		Preconditions.notNull(floor, "floor");
		this.floorConfirmed = true;
		this.currentNumber = this.currentNumber.isBefore(floor) ? floor : this.currentNumber;
	}

	/**
	 * Decides whether an order may be sent to the engine.
	 * @param number the order's number
	 * @return the order's number, or {@link ErrorCode#FENCED} if it is lower than the
	 * current one, {@link ErrorCode#UNAVAILABLE} if the current number is unknown and
	 * {@link ErrorCode#OVERLOADED} if an earlier order has not ended; the latter two may
	 * be retried
	 */
	public Result<FencingNumber> admit(FencingNumber number) {
		Preconditions.notNull(number, "number");
		if (this.fencing == EngineFencing.CHECKED_BY_SIDECAR && !this.floorConfirmed) {
			return refuse(number, ErrorCode.UNAVAILABLE,
					"the current fencing number is not yet confirmed by a quorum; retry");
		}
		if (number.isBefore(this.currentNumber)) {
			return refuse(number, ErrorCode.FENCED,
					"the order's fencing number is lower than the current number " + this.currentNumber);
		}
		if (this.orderInProgress) {
			return refuse(number, ErrorCode.OVERLOADED, "an earlier order has not ended; retry");
		}
		return accept(number);
	}

	/**
	 * Records that the engine has ended the admitted order, so that the next one may be
	 * admitted.
	 */
	public void endOrder() {
		this.orderInProgress = false;
	}

	/**
	 * Returns the highest number admitted or confirmed by a quorum.
	 * @return the number
	 */
	public FencingNumber currentNumber() {
		return this.currentNumber;
	}

	/**
	 * Returns whether the fence can admit orders.
	 * @return {@code true} if the current number is known or the engine checks numbers
	 * itself
	 */
	public boolean isReady() {
		return this.floorConfirmed || this.fencing == EngineFencing.CHECKED_BY_ENGINE;
	}

	private Result<FencingNumber> accept(FencingNumber number) {
		if (!this.invariants.holds(!number.isBefore(this.currentNumber), "order-number-never-back",
				Field.of("present", this.currentNumber), Field.of("offered", number))) {
			return refuse(number, ErrorCode.INVARIANT,
					"the order would decrease the current fencing number " + this.currentNumber);
		}
		this.currentNumber = number;
		this.orderInProgress = true;
		recordDecision(number, "admitted");
		return Result.success(number);
	}

	private Result<FencingNumber> refuse(FencingNumber number, ErrorCode code, String reason) {
		recordDecision(number, "refused");
		return Result.failure(OperationError.local(code, Step.ORDER, reason));
	}

	private void recordDecision(FencingNumber number, String result) {
		this.decisions
			.onDecision(DecisionRecord.of(DecisionKind.ORDER, this.self.value(), result, Field.of("number", number),
					Field.of("present", this.currentNumber), Field.of("learnt", this.floorConfirmed)));
	}

}
