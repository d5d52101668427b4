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
 * The sidecar's core that refuses orders older than one already accepted.
 * <p>
 * A new fence knows nothing and admits no order until it has learnt the present number
 * from a quorum. Admitted orders must reach the engine one at a time and in the order in
 * which they were admitted; {@link #ended} makes room for the next. It is not
 * thread-safe.
 */
public final class OrderFence {

	private final InstanceId self;

	private final EngineFencing engine;

	private final Invariants invariants = new Invariants();

	private final DecisionListener decisions;

	private FencingNumber present = FencingNumber.ZERO;

	private boolean learnt;

	private boolean busy;

	/**
	 * Creates a fence that knows nothing.
	 * @param self the sidecar
	 * @param engine whether the engine checks numbers itself
	 * @param decisions receives the decisions
	 */
	public OrderFence(InstanceId self, EngineFencing engine, DecisionListener decisions) {
		this.self = Preconditions.notNull(self, "self");
		this.engine = Preconditions.notNull(engine, "engine");
		this.decisions = Preconditions.notNull(decisions, "decisions");
	}

	/**
	 * Takes the number of the last order issued, as a quorum confirmed it after this
	 * fence was created.
	 * @param floor the number
	 */
	public void learnFloor(FencingNumber floor) {
		Preconditions.notNull(floor, "floor");
		this.learnt = true;
		this.present = this.present.isBefore(floor) ? floor : this.present;
	}

	/**
	 * Decides whether an order may be handed to the engine.
	 * @param number the order's number
	 * @return the number now present, or {@link ErrorCode#FENCED} if it is too old,
	 * {@link ErrorCode#UNAVAILABLE} if the present number is not known yet and
	 * {@link ErrorCode#OVERLOADED} if an earlier order has not ended; the latter two may
	 * be tried again
	 */
	public Result<FencingNumber> admit(FencingNumber number) {
		Preconditions.notNull(number, "number");
		if (this.engine == EngineFencing.CHECKED_BY_SIDECAR && !this.learnt) {
			return refuse(number, ErrorCode.UNAVAILABLE, "the present number is not known yet; try again");
		}
		if (number.isBefore(this.present)) {
			return refuse(number, ErrorCode.FENCED, "the order is older than " + this.present);
		}
		if (this.busy) {
			return refuse(number, ErrorCode.OVERLOADED, "an earlier order has not ended; try again");
		}
		return accept(number);
	}

	/**
	 * Notes that the engine has ended the admitted order.
	 */
	public void ended() {
		this.busy = false;
	}

	/**
	 * Returns the greatest number accepted or learnt.
	 * @return the number
	 */
	public FencingNumber present() {
		return this.present;
	}

	/**
	 * Tells whether the fence can admit orders.
	 * @return {@code true} once the present number was learnt, or if the engine checks
	 */
	public boolean isReady() {
		return this.learnt || this.engine == EngineFencing.CHECKED_BY_ENGINE;
	}

	private Result<FencingNumber> accept(FencingNumber number) {
		if (!this.invariants.holds(!number.isBefore(this.present), "order-number-never-back",
				Field.of("present", this.present), Field.of("offered", number))) {
			return refuse(number, ErrorCode.INVARIANT, "the order would step back behind " + this.present);
		}
		this.present = number;
		this.busy = true;
		decide(number, "admitted");
		return Result.success(number);
	}

	private Result<FencingNumber> refuse(FencingNumber number, ErrorCode code, String reason) {
		decide(number, "refused");
		return Result.failure(OperationError.local(code, Step.ORDER, reason));
	}

	private void decide(FencingNumber number, String result) {
		this.decisions.onDecision(DecisionRecord.of(DecisionKind.ORDER, this.self.value(), result,
				Field.of("number", number), Field.of("present", this.present), Field.of("learnt", this.learnt)));
	}

}
