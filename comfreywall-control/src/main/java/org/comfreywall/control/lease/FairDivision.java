package org.comfreywall.control.lease;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Divides one client account's limits between its holders in proportion to their demands,
 * and hands what cannot be divided to the holders in turn, least recently served first.
 */
final class FairDivision {

	private static final Comparator<Holder> BY_RATE_SERVED = Comparator.comparingLong(Holder::rateServedAt)
		.thenComparing(Holder::key);

	private static final Comparator<Holder> BY_SLOT_SERVED = Comparator.comparingLong(Holder::slotServedAt)
		.thenComparing(Holder::key);

	private double requestShare = 1;

	private double tokenShare = 1;

	private double slotShare = 1;

	private double reservedRequests;

	private double reservedTokens;

	/**
	 * Divides anew.
	 * @param holders the holders heard of lately
	 * @param input what is to be divided
	 */
	void divide(Collection<Holder> holders, DivisionInput input) {
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
		passRateTurns(holders, input);
		passSlotTurns(holders, input.slots());
	}

	long requests(Holder holder) {
		return (long) (this.requestShare * holder.demand().requests());
	}

	long tokens(Holder holder) {
		return (long) (this.tokenShare * holder.demand().tokens());
	}

	long slots(Holder holder) {
		long divided = dividedSlots(holder);
		return (holder.slotTurn() && divided < holder.demand().slots()) ? divided + 1 : divided;
	}

	long dividedSlots(Holder holder) {
		return (long) (this.slotShare * holder.demand().slots());
	}

	/**
	 * Returns the requests kept for holders whose turn it is.
	 * @return the number of requests
	 */
	double reservedRequests() {
		return this.reservedRequests;
	}

	/**
	 * Returns the tokens kept for holders whose turn it is.
	 * @return the number of tokens
	 */
	double reservedTokens() {
		return this.reservedTokens;
	}

	void release(Holder holder) {
		this.reservedRequests = Math.max(0, this.reservedRequests - 1);
		this.reservedTokens = Math.max(0, this.reservedTokens - holder.demand().smallestTokens());
	}

	private void passRateTurns(Collection<Holder> holders, DivisionInput input) {
		holders.forEach((holder) -> holder.rateTurn(false));
		this.reservedRequests = 0;
		this.reservedTokens = 0;
		List<Holder> waiting = holders.stream().filter(Holder::waiting).sorted(BY_RATE_SERVED).toList();
		for (Holder holder : waiting) {
			double requests = this.reservedRequests + 1;
			double tokens = this.reservedTokens + holder.demand().smallestTokens();
			boolean fits = requests <= input.requestsNow() && tokens <= input.tokensNow();
			if (this.reservedRequests > 0 && !fits) {
				return;
			}
			holder.rateTurn(true);
			this.reservedRequests = requests;
			this.reservedTokens = tokens;
		}
	}

	private void passSlotTurns(Collection<Holder> holders, long slots) {
		long left = slots;
		for (Holder holder : holders) {
			left -= dividedSlots(holder);
			holder.slotTurn(false);
		}
		if (left <= 0 || this.slotShare >= 1) {
			return;
		}
		holders.stream()
			.filter((holder) -> holder.demand().slots() > dividedSlots(holder))
			.sorted(BY_SLOT_SERVED)
			.limit(left)
			.forEach((holder) -> holder.slotTurn(true));
	}

	private static double share(double available, long wanted) {
		return (wanted <= available) ? 1 : available / wanted;
	}

}
