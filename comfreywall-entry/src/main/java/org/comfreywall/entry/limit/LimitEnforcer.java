package org.comfreywall.entry.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.comfreywall.common.config.AccountLimits;
import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.lease.AccountDemand;
import org.comfreywall.common.lease.AccountGrant;
import org.comfreywall.common.lease.LeaseGrant;
import org.comfreywall.common.util.Preconditions;

/**
 * Enforces the client accounts' limits at one entry with shares leased from the grantors.
 * <p>
 * Each share lapses on this entry's monotonic clock before it lapses on the grantor's,
 * counted from the sending of the ask. The caller ticks every few milliseconds, sends the
 * asks it is told to, and hands in the answers. Tracks at most {@value #MAX_ACCOUNTS}
 * client accounts at a time. Not safe for use by several threads.
 */
public final class LimitEnforcer {

	/** Client accounts that one entry tracks at a time. */
	static final int MAX_ACCOUNTS = 16_384;

	private final LimitSettings settings;

	private final LimitSource source;

	private final DecisionListener listener;

	private final Invariants invariants;

	private final GrantorChannel primary;

	private final GrantorChannel reserve;

	private final Map<AccountId, AccountShares> accounts = new HashMap<>();

	private final Set<AccountShares> urgent = new LinkedHashSet<>();

	private long askedAllAt = Long.MIN_VALUE;

	private long askedAt = Long.MIN_VALUE;

	/**
	 * Creates an enforcer that holds no share.
	 * @param entry this entry instance
	 * @param incarnation the life of this process; must be new
	 * @param settings the settings
	 * @param source the configured limits
	 * @param listener receives a record of each refusal
	 * @param invariants checks the invariants
	 */
	public LimitEnforcer(InstanceId entry, Incarnation incarnation, LimitSettings settings, LimitSource source,
			DecisionListener listener, Invariants invariants) {
		Preconditions.notNull(entry, "entry");
		Preconditions.notNull(incarnation, "incarnation");
		this.settings = Preconditions.notNull(settings, "settings");
		this.source = Preconditions.notNull(source, "source");
		this.listener = Preconditions.notNull(listener, "listener");
		this.invariants = Preconditions.notNull(invariants, "invariants");
		this.primary = new GrantorChannel(entry, incarnation);
		this.reserve = new GrantorChannel(entry, incarnation);
	}

	/**
	 * Decides on a request that arrived.
	 * @param request the request
	 * @param now this entry's monotonic clock in nanoseconds
	 * @return whether it is admitted, has to wait for a share, or is refused
	 */
	public LimitDecision offer(LimitRequest request, long now) {
		Preconditions.notNull(request, "request");
		Optional<LimitKind> impossible = impossible(request);
		if (impossible.isPresent()) {
			return refuse(request, impossible.get(), Duration.ZERO);
		}
		AccountShares shares = this.accounts.get(request.account());
		if (shares == null) {
			if (this.accounts.size() >= MAX_ACCOUNTS) {
				return refuse(request, LimitKind.TOO_MANY_ACCOUNTS, this.settings.terms().rateTerm());
			}
			shares = new AccountShares(request.account(), this.settings.terms(), this.primary.sequence(),
					this.reserve.sequence(), now);
			this.accounts.put(request.account(), shares);
		}
		shares.offered(request.tokens(), now);
		return decide(request, shares, now + this.settings.patience().toNanos(), now);
	}

	/**
	 * Decides again on a request that is waiting for a share.
	 * @param request the request
	 * @param until the end of its wait as told by {@link LimitPending#until()}
	 * @param now this entry's monotonic clock in nanoseconds
	 * @return whether it is admitted, has to wait on, or is refused
	 */
	public LimitDecision offerAgain(LimitRequest request, long until, long now) {
		Preconditions.notNull(request, "request");
		AccountShares shares = this.accounts.get(request.account());
		return (shares != null) ? decide(request, shares, until, now) : offer(request, now);
	}

	/**
	 * Takes back a permit when its request has ended, whatever the outcome.
	 * @param permit the permit, once
	 * @param spentTokens the tokens the request cost: its prompt and what was generated
	 * @param now this entry's monotonic clock in nanoseconds
	 */
	public void finished(LimitPermit permit, long spentTokens, long now) {
		Preconditions.notNull(permit, "permit");
		Preconditions.check(spentTokens >= 0, "spentTokens must not be negative: %d", spentTokens);
		AccountShares shares = this.accounts.get(permit.account());
		boolean known = shares != null && shares.share(permit.grantor()).used() > 0;
		if (this.invariants.holds(known, "permit-returned-once", Field.of("client-account", permit.account()))) {
			shares.share(permit.grantor()).finish(permit.tokens(), spentTokens);
		}
	}

	/**
	 * Takes in a grantor's answer; a doubled, late or outdated one is ignored.
	 * @param role the grantor that answered
	 * @param grant the answer
	 * @param now this entry's monotonic clock in nanoseconds
	 * @return the client accounts whose waiting requests are worth offering again
	 */
	public Collection<AccountId> granted(GrantorRole role, LeaseGrant grant, long now) {
		Preconditions.notNull(role, "role");
		Preconditions.notNull(grant, "grant");
		OpenAsk ask = channel(role).match(grant);
		if (ask == null) {
			return List.of();
		}
		long amountUntil = ask.sentAt() + this.settings.terms().holderNanos(this.settings.terms().rateTerm());
		long slotsUntil = ask.sentAt() + this.settings.terms().holderNanos(this.settings.terms().slotTerm());
		List<AccountId> result = new ArrayList<>(grant.grants().size());
		for (AccountGrant each : grant.grants()) {
			AccountShares shares = this.accounts.get(each.account());
			AccountDemand demand = ask.demands().get(each.account());
			if (shares != null && demand != null) {
				shares.share(role).take(each, grant.term(), grant.sequence(), amountUntil, slotsUntil, now);
				shares.answered(demand, each, now);
				result.add(each.account());
			}
		}
		return result;
	}

	/**
	 * Asks for shares where it is time to.
	 * @param now this entry's monotonic clock in nanoseconds
	 * @return the asks to send
	 */
	public List<LimitCommand> tick(long now) {
		long interval = this.settings.terms().askInterval().toNanos();
		if (this.askedAllAt == Long.MIN_VALUE || now - this.askedAllAt >= interval) {
			this.askedAllAt = now;
			long oldest = now - this.settings.terms().slotTerm().toNanos();
			this.primary.forgetBefore(oldest);
			this.reserve.forgetBefore(oldest);
			List<LimitCommand> asks = ask(List.copyOf(this.accounts.values()), now);
			this.accounts.values().removeIf((shares) -> shares.isUnused(now));
			return asks;
		}
		boolean gapOver = this.askedAt == Long.MIN_VALUE || now - this.askedAt >= this.settings.urgentGap().toNanos();
		return (this.urgent.isEmpty() || !gapOver) ? List.of() : ask(List.copyOf(this.urgent), now);
	}

	/**
	 * Returns the number of client accounts in use at this entry.
	 * @return the count
	 */
	public int accountsInUse() {
		return this.accounts.size();
	}

	/**
	 * Tells whether the primary grantor has left asks unanswered for longer than a rate
	 * term.
	 * @param now this entry's monotonic clock in nanoseconds
	 * @return {@code true} while the reserve grantor is asked instead
	 */
	public boolean isPrimarySilent(long now) {
		return this.primary.isSilent(this.settings.terms().rateTerm().toNanos(), now);
	}

	private LimitDecision decide(LimitRequest request, AccountShares shares, long until, long now) {
		for (GrantorRole role : GrantorRole.values()) {
			GrantedShare share = shares.share(role);
			if (share.canAdmit(request.tokens(), now)) {
				share.admit(request.tokens());
				return new LimitAdmitted(new LimitPermit(request.account(), role, request.tokens()));
			}
		}
		shares.unserved(request.tokens());
		if (!shares.isShort(now) && now < until) {
			this.urgent.add(shares);
			return new LimitPending(until);
		}
		return refuse(request, missing(request, shares, now), retryAfter(shares));
	}

	private LimitKind missing(LimitRequest request, AccountShares shares, long now) {
		GrantedShare share = shares.share(GrantorRole.PRIMARY);
		if (isPrimarySilent(now)) {
			return LimitKind.GRANTOR_SILENT;
		}
		if (share.requests(now) < 1) {
			return LimitKind.REQUESTS;
		}
		return (share.tokens(now) < request.tokens()) ? LimitKind.TOKENS : LimitKind.IN_FLIGHT;
	}

	private Duration retryAfter(AccountShares shares) {
		long shortest = this.settings.terms().askInterval().toNanos();
		long longest = 25 * shortest;
		double rate = shares.grantedPerNano();
		double wait = (rate > 0) ? (shares.waiting() + 1) / rate : 2.0 * this.settings.terms().rateTerm().toNanos();
		return Duration.ofNanos((long) Math.max(shortest, Math.min(wait, longest)));
	}

	private Optional<LimitKind> impossible(LimitRequest request) {
		Optional<AccountLimits> limits = this.source.limits(request.account());
		if (limits.isEmpty()) {
			return Optional.of(LimitKind.NOT_CONFIGURED);
		}
		double perSecond = this.settings.division().primary(limits.get()).tokensPerSecond();
		double burst = perSecond * this.settings.terms().burst().toNanos() / 1e9;
		return (request.tokens() > burst) ? Optional.of(LimitKind.REQUEST_SIZE) : Optional.empty();
	}

	private List<LimitCommand> ask(Collection<AccountShares> all, long now) {
		boolean useReserve = this.settings.division().reserveShare() > 0 && isPrimarySilent(now);
		List<AccountDemand> primaryDemands = new ArrayList<>(all.size());
		List<AccountDemand> reserveDemands = new ArrayList<>();
		for (AccountShares shares : all) {
			primaryDemands.add(shares.demand(GrantorRole.PRIMARY, true, now));
			if (useReserve || shares.share(GrantorRole.RESERVE).isInUse(now)) {
				reserveDemands.add(shares.demand(GrantorRole.RESERVE, useReserve, now));
			}
			shares.asked();
		}
		this.urgent.clear();
		List<LimitCommand> asks = new ArrayList<>(2);
		if (!primaryDemands.isEmpty()) {
			this.askedAt = now;
			asks.add(new SendAsk(GrantorRole.PRIMARY, this.primary.ask(primaryDemands, now)));
		}
		if (!reserveDemands.isEmpty()) {
			asks.add(new SendAsk(GrantorRole.RESERVE, this.reserve.ask(reserveDemands, now)));
		}
		return asks;
	}

	private LimitRefused refuse(LimitRequest request, LimitKind kind, Duration retryAfter) {
		if (this.listener != DecisionListener.NONE) {
			this.listener.onDecision(DecisionRecord.of(DecisionKind.REFUSE, request.id().value(), "limit-exceeded",
					Field.of("client-account", request.account()), Field.of("limit", kind),
					Field.of("tokens", request.tokens()), Field.of("retry-after-ms", retryAfter.toMillis())));
		}
		return new LimitRefused(kind, retryAfter);
	}

	private GrantorChannel channel(GrantorRole role) {
		return (role == GrantorRole.PRIMARY) ? this.primary : this.reserve;
	}

}
