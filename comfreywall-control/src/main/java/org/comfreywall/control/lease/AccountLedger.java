package org.comfreywall.control.lease;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.lease.AccountDemand;
import org.comfreywall.common.lease.AccountGrant;
import org.comfreywall.common.lease.GrantorLimits;
import org.comfreywall.common.lease.LeaseTerms;

/**
 * Grants shares of one client account's limits to its holders and tracks what they may
 * still use.
 */
final class AccountLedger {

	/** The maximum number of holders tracked for one client account. */
	static final int MAX_HOLDERS = 4096;

	private static final int MANY_HOLDERS = 100;

	private static final long DIVISION_INTERVAL_NANOS = 100_000_000;

	private static final double ROUNDING = 1e-6;

	private final AccountId account;

	private final LedgerContext context;

	private final OptionalLong earlierSlots;

	private final LeaseTokenBucket requests;

	private final LeaseTokenBucket tokens;

	private final Map<HolderKey, Holder> holders = new HashMap<>();

	/** The slots of earlier grantors that each holder has reported. */
	private final Map<HolderKey, Long> reportedSlots = new HashMap<>();

	private final FairDivision division = new FairDivision();

	private long slots;

	private long committedSlots;

	private long dividedAt = Long.MIN_VALUE;

	AccountLedger(AccountId account, LedgerContext context, OptionalLong earlierSlots) {
		this.account = account;
		this.context = context;
		this.earlierSlots = earlierSlots;
		long term = context.terms().rateTerm().toNanos();
		this.requests = new LeaseTokenBucket(term, context.ratesFrom());
		this.tokens = new LeaseTokenBucket(term, context.ratesFrom());
	}

	void configure(GrantorLimits limits) {
		LeaseTerms terms = this.context.terms();
		double seconds = terms.burst().toNanos() / 1e9;
		double slowest = 1 - terms.clockDrift();
		this.requests.configure(limits.requestsPerSecond() * slowest, limits.requestsPerSecond() * seconds);
		this.tokens.configure(limits.tokensPerSecond() * slowest, limits.tokensPerSecond() * seconds);
		this.slots = limits.slots();
	}

	AccountGrant handleDemand(HolderKey key, long sequence, Term holderTerm, AccountDemand demand, long now) {
		Holder holder = this.holders.get(key);
		if (holder == null) {
			if (this.holders.size() >= MAX_HOLDERS) {
				return new AccountGrant(this.account, 0, 0, 0);
			}
			holder = new Holder(key);
			inheritSlots(holder, demand, now);
			this.holders.put(key, holder);
		}
		long committedBefore = holder.slots().committed(now);
		holder.recordDemand(demand, now, now + this.context.longestRequestNanos());
		this.committedSlots += holder.slots().committed(now) - committedBefore;
		refund(holderTerm, demand, now);
		divideIfDue(now);
		return grant(holder, sequence, now);
	}

	SlotUse slotUse(long now) {
		long committed = committedSlots(now);
		long maximum = Math.max(committed, Math.max(this.slots, reservedBefore(now)));
		return new SlotUse(committed, earlierSlots(now), maximum);
	}

	private long reservedBefore(long now) {
		return (now < this.context.slotsFrom()) ? this.earlierSlots.orElse(this.slots) : 0;
	}

	// What a holder has reported is part of what earlier grantors granted and is counted
	// for that holder. The others can have no more than the rest.
	private long earlierSlots(long now) {
		long reported = this.reportedSlots.values().stream().mapToLong(Long::longValue).sum();
		return Math.max(0, reservedBefore(now) - reported);
	}

	long committedSlots(long now) {
		return this.holders.values().stream().mapToLong((holder) -> holder.slots().committed(now)).sum();
	}

	long unexpiredRequests(long now) {
		this.requests.available(now);
		return this.requests.unexpired();
	}

	long unexpiredTokens(long now) {
		this.tokens.available(now);
		return this.tokens.unexpired();
	}

	/**
	 * Returns whether the client account has no limits and all its grants have expired.
	 * @param now the grantor's monotonic clock in nanoseconds
	 * @return {@code true} if this ledger may be removed
	 */
	boolean isUnused(long now) {
		boolean noLimits = this.slots == 0 && this.requests.capacity() == 0 && this.tokens.capacity() == 0;
		return noLimits && committedSlots(now) == 0 && unexpiredRequests(now) == 0 && unexpiredTokens(now) == 0;
	}

	int holders() {
		return this.holders.size();
	}

	// Counts the slots that a new holder still has from a grantor of an earlier term.
	private void inheritSlots(Holder holder, AccountDemand demand, long now) {
		boolean granted = demand.heldSlots() > 0 && demand.heldTerm().isBefore(this.context.term());
		if (granted) {
			SlotGrant inherited = new SlotGrant(demand.heldSequence(), demand.heldSlots(), slotsExpireAt(now));
			holder.addInheritedSlots(inherited);
			this.reportedSlots.merge(holder.key(), inherited.slots(), Math::max);
			this.committedSlots += holder.slots().committed(now);
		}
	}

	private void refund(Term holderTerm, AccountDemand demand, long now) {
		if (demand.refundedTokens() > 0 && holderTerm.equals(this.context.term())) {
			this.tokens.refund(demand.refundedTokens(), now);
		}
	}

	private void divideIfDue(long now) {
		long interval = (this.holders.size() < MANY_HOLDERS) ? DIVISION_INTERVAL_NANOS
				: this.context.terms().askInterval().toNanos();
		if (this.dividedAt != Long.MIN_VALUE && now - this.dividedAt < interval) {
			return;
		}
		this.dividedAt = now;
		this.committedSlots = 0;
		long activeSince = now - 2 * this.context.terms().askInterval().toNanos();
		this.holders.values()
			.removeIf((holder) -> !holder.wasActiveSince(activeSince) && holder.slots().committed(now) == 0);
		this.holders.values().forEach((holder) -> this.committedSlots += holder.slots().committed(now));
		List<Holder> activeHolders = this.holders.values()
			.stream()
			.filter((holder) -> holder.wasActiveSince(activeSince))
			.toList();
		this.division.divide(activeHolders, divisionInput(now), now);
	}

	private DivisionInput divisionInput(long now) {
		long interval = this.context.terms().askInterval().toNanos();
		double requestsNow = this.requests.available(now);
		double tokensNow = this.tokens.available(now);
		return new DivisionInput(Math.max(requestsNow, this.requests.perNano() * interval),
				Math.max(tokensNow, this.tokens.perNano() * interval), requestsNow, tokensNow, this.slots);
	}

	// Grants rates only if they admit a request and the holder, if it demands slots, gets
	// at least one.
	private AccountGrant grant(Holder holder, long sequence, long now) {
		AccountDemand demand = holder.demand();
		long divided = this.division.dividedSlots(holder);
		long granted = grantableSlots(holder, now);
		AccountGrant rates = (granted > 0 || demand.slots() == 0) ? rates(holder, now) : noRates();
		boolean useful = granted >= Math.min(1, demand.slots()) && isUseful(rates, demand);
		if (!useful) {
			rates = noRates();
			granted = holder.keepsTurnSlot(now) ? granted : Math.min(granted, Math.max(divided, demand.usedSlots()));
		}
		if (!spendRates(rates.requests(), rates.tokens(), now)) {
			rates = noRates();
		}
		holder.waiting(!useful && fitsCapacity(demand));
		if (useful && holder.inTurn()) {
			this.division.endTurn(holder);
			holder.recordServed(sequence, now + this.context.terms().rateTerm().toNanos(), now);
		}
		commitSlots(holder, sequence, granted, now);
		AccountGrant grant = new AccountGrant(this.account, rates.requests(), rates.tokens(), granted);
		recordShortfall(holder, grant);
		return grant;
	}

	// Returns the requests and tokens for a holder. In its turn it may use the reserved
	// amounts and gets at least enough for its smallest request.
	private AccountGrant rates(Holder holder, long now) {
		AccountDemand demand = holder.demand();
		double requestsLeft = this.requests.available(now);
		double tokensLeft = this.tokens.available(now);
		if (!holder.inTurn()) {
			requestsLeft -= this.division.reservedRequests();
			tokensLeft -= this.division.reservedTokens();
		}
		long requests = this.division.requests(holder);
		long tokens = this.division.tokens(holder);
		if (holder.inTurn()) {
			requests = Math.max(requests, Math.min(1, demand.requests()));
			tokens = Math.max(tokens, Math.min(demand.smallestTokens(), demand.tokens()));
		}
		return new AccountGrant(this.account, limitTo(requests, requestsLeft), limitTo(tokens, tokensLeft), 0);
	}

	private AccountGrant noRates() {
		return new AccountGrant(this.account, 0, 0, 0);
	}

	private static boolean isUseful(AccountGrant rates, AccountDemand demand) {
		return rates.requests() >= Math.min(1, demand.requests())
				&& rates.tokens() >= Math.min(demand.smallestTokens(), demand.tokens());
	}

	private boolean fitsCapacity(AccountDemand demand) {
		return this.requests.capacity() >= 1 && this.tokens.capacity() >= demand.smallestTokens();
	}

	private boolean spendRates(long requests, long tokens, long now) {
		boolean withinLimits = isWithinLimit(this.requests, requests, "granted-requests-within-limit")
				&& isWithinLimit(this.tokens, tokens, "granted-tokens-within-limit");
		if (withinLimits) {
			this.requests.grant(requests, now);
			this.tokens.grant(tokens, now);
		}
		return withinLimits;
	}

	private boolean isWithinLimit(LeaseTokenBucket bucket, long amount, String invariant) {
		boolean within = amount <= bucket.level() + ROUNDING
				&& bucket.level() + bucket.unexpired() <= Math.max(bucket.capacity(), bucket.unexpired()) + ROUNDING;
		return this.context.invariants()
			.holds(within, invariant, Field.of("client-account", this.account), Field.of("amount", amount));
	}

	// Returns the slots that a holder may be granted. Until the grants of earlier terms
	// have expired, slots that no holder has reported stay reserved.
	private long grantableSlots(Holder holder, long now) {
		long target = this.division.slots(holder, now);
		long others = this.committedSlots - holder.slots().committed(now);
		if (now < this.context.slotsFrom()) {
			target = Math.min(target, Math.max(holder.inheritedSlots(), this.slots - others - earlierSlots(now)));
		}
		return Math.max(0, Math.min(target, this.slots - others));
	}

	private void commitSlots(Holder holder, long sequence, long granted, long now) {
		long committedBefore = holder.slots().committed(now);
		holder.slots().addGrant(new SlotGrant(sequence, granted, slotsExpireAt(now)));
		this.committedSlots += holder.slots().committed(now) - committedBefore;
	}

	private long slotsExpireAt(long now) {
		return now + this.context.terms().slotTerm().toNanos() + this.context.longestRequestNanos();
	}

	private void recordShortfall(Holder holder, AccountGrant grant) {
		AccountDemand demand = holder.demand();
		if (grant.requests() >= demand.requests() && grant.tokens() >= demand.tokens()
				&& grant.slots() >= demand.slots()) {
			return;
		}
		DecisionListener listener = this.context.listener();
		if (listener == DecisionListener.NONE) {
			return;
		}
		listener.onDecision(DecisionRecord.of(DecisionKind.LEASE, this.account.value(), "granted-in-part",
				Field.of("holder", holder.key().holder()), Field.of("wanted-requests", demand.requests()),
				Field.of("requests", grant.requests()), Field.of("wanted-tokens", demand.tokens()),
				Field.of("tokens", grant.tokens()), Field.of("wanted-slots", demand.slots()),
				Field.of("slots", grant.slots()), Field.of("committed-slots", this.committedSlots)));
	}

	private static long limitTo(long amount, double available) {
		return Math.max(0, Math.min(amount, (long) available));
	}

}
