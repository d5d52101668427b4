package org.comfreywall.control.lease;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.comfreywall.common.lease.AccountDemand;

/**
 * Divides one client account's limits between its holders in proportion to their demands.
 * <p>
 * Holders whose proportional share is too small to admit a request take turns, the least
 * recently served first. The amounts that a turn needs stay reserved until the holder
 * sends its next lease request, so that neither more frequent lease requests of others
 * nor smaller amounts can starve it.
 */
final class FairDivision {

	private static final Comparator<Holder> BY_SERVED = Comparator.comparingLong(Holder::servedAt)
		.thenComparing(Holder::key);

	private static final double ROUNDING = 1e-9;

	private double requestShare = 1;

	private double tokenShare = 1;

	private double slotShare = 1;

	private double reservedRequests;

	private double reservedTokens;

	/**
	 * Recomputes the shares, the turns and the reserved amounts.
	 * @param holders the holders that sent a lease request recently
	 * @param input the amounts to divide
	 * @param now the time in nanoseconds
	 */
	void divide(Collection<Holder> holders, DivisionInput input, long now) {
		long requests = 0;
		long tokens = 0;
		long slots = 0;
		for (Holder holder : holders) {
			requests += holder.demand().requests();
			tokens += holder.demand().tokens();
			slots += holder.demand().slots();
		}
		this.requestShare = share(input.requests(), requests);
		this.tokenShare = share(input.tokens(), tokens);
		this.slotShare = share(input.slots(), slots);
		assignTurns(holders, input, now);
	}

	long requests(Holder holder) {
		return scale(this.requestShare, holder.demand().requests());
	}

	long tokens(Holder holder) {
		return scale(this.tokenShare, holder.demand().tokens());
	}

	/**
	 * Returns a holder's share of the in-flight slots.
	 * @param holder the holder
	 * @param now the time in nanoseconds
	 * @return the slots, one more than its proportional share if it is its turn
	 */
	long slots(Holder holder, long now) {
		long divided = dividedSlots(holder);
		boolean turn = holder.inTurn() || holder.keepsTurnSlot(now);
		return (turn && divided < holder.demand().slots()) ? divided + 1 : divided;
	}

	long dividedSlots(Holder holder) {
		return scale(this.slotShare, holder.demand().slots());
	}

	/**
	 * Returns the requests reserved for holders whose turn it is.
	 * @return the number of requests
	 */
	double reservedRequests() {
		return this.reservedRequests;
	}

	/**
	 * Returns the tokens reserved for holders whose turn it is.
	 * @return the number of tokens
	 */
	double reservedTokens() {
		return this.reservedTokens;
	}

	void endTurn(Holder holder) {
		this.reservedRequests = Math.max(0, this.reservedRequests - 1);
		this.reservedTokens = Math.max(0, this.reservedTokens - holder.demand().smallestTokens());
	}

	private void assignTurns(Collection<Holder> holders, DivisionInput input, long now) {
		this.reservedRequests = 0;
		this.reservedTokens = 0;
		long slotsLeft = input.slots();
		for (Holder holder : holders) {
			holder.inTurn(false);
			boolean keepsSlot = holder.keepsTurnSlot(now) && dividedSlots(holder) < holder.demand().slots();
			slotsLeft -= keepsSlot ? dividedSlots(holder) + 1 : dividedSlots(holder);
		}
		List<Holder> queue = holders.stream()
			.filter((holder) -> needsTurn(holder) && !holder.keepsTurnSlot(now))
			.sorted(BY_SERVED)
			.toList();
		for (Holder holder : queue) {
			AccountDemand demand = holder.demand();
			boolean available = this.reservedRequests + 1 <= input.requestsNow()
					&& this.reservedTokens + demand.smallestTokens() <= input.tokensNow();
			boolean first = this.reservedRequests == 0;
			if (slotsLeft <= 0 || !(first || available)) {
				return;
			}
			holder.inTurn(true);
			this.reservedRequests++;
			this.reservedTokens += demand.smallestTokens();
			slotsLeft -= (dividedSlots(holder) < demand.slots()) ? 1 : 0;
		}
	}

	private boolean needsTurn(Holder holder) {
		AccountDemand demand = holder.demand();
		boolean noSlot = demand.slots() > 0 && dividedSlots(holder) == 0;
		return noSlot || holder.waiting() || requests(holder) < Math.min(1, demand.requests())
				|| tokens(holder) < Math.min(demand.smallestTokens(), demand.tokens());
	}

	private static long scale(double share, long demanded) {
		return (long) (share * demanded + ROUNDING);
	}

	private static double share(double available, long demanded) {
		return (demanded <= available) ? 1 : available / demanded;
	}

}
