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
 * Enforces the limits of client accounts at one entry, with shares leased from the
 * grantors.
 * <p>
 * The term of a share is counted from the sending of the lease request and ends on this
 * entry's monotonic clock before it ends on the grantor's. The caller invokes
 * {@link #tick} every few milliseconds, sends the returned lease requests, and passes the
 * grants to {@link #handleGrant}. Tracks at most {@value #MAX_ACCOUNTS} client accounts
 * at a time. Not thread-safe.
 */
public final class LimitEnforcer {

	/** The maximum number of client accounts that one entry tracks at a time. */
	static final int MAX_ACCOUNTS = 16_384;

	private final LimitSettings settings;

	private final LimitSource source;

	private final DecisionListener listener;

	private final Invariants invariants;

	private final GrantorChannel primary;

	private final GrantorChannel reserve;

	private final Map<AccountId, AccountShares> accounts = new HashMap<>();

	private final Set<AccountShares> accountsWithUnmetDemand = new LinkedHashSet<>();

	private long lastRegularRequestAt = Long.MIN_VALUE;

	private long lastRequestAt = Long.MIN_VALUE;

	/**
	 * Creates an enforcer without shares.
	 * @param entry this entry instance
	 * @param incarnation the incarnation of this process; must not have been used before
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
	 * Decides on a new request.
	 * @param request the request
	 * @param now this entry's monotonic clock in nanoseconds
	 * @return whether it is admitted, has to wait for a share, or is refused
	 */
	public LimitDecision offer(LimitRequest request, long now) {
		Preconditions.notNull(request, "request");
		Optional<LimitKind> violation = findPermanentViolation(request);
		if (violation.isPresent()) {
			return refuse(request, violation.get(), Duration.ZERO);
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
		shares.recordOffer(request.tokens(), now);
		return decide(request, shares, now + this.settings.patience().toNanos(), now);
	}

	/**
	 * Decides again on a request that is waiting for a share.
	 * @param request the request
	 * @param waitUntil the end of its wait as returned in {@link LimitPending}, in
	 * nanoseconds on this entry's clock
	 * @param now this entry's monotonic clock in nanoseconds
	 * @return whether it is admitted, has to wait longer, or is refused
	 */
	public LimitDecision offerAgain(LimitRequest request, long waitUntil, long now) {
		Preconditions.notNull(request, "request");
		AccountShares shares = this.accounts.get(request.account());
		return (shares != null) ? decide(request, shares, waitUntil, now) : offer(request, now);
	}

	/**
	 * Returns the permit of a request that has ended, whatever its outcome.
	 * @param permit the permit, which must be returned only once
	 * @param spentTokens the tokens that the request used: prompt and generated tokens
	 * @param now this entry's monotonic clock in nanoseconds
	 */
	public void returnPermit(LimitPermit permit, long spentTokens, long now) {
		Preconditions.notNull(permit, "permit");
		Preconditions.check(spentTokens >= 0, "spentTokens must not be negative: %d", spentTokens);
		AccountShares shares = this.accounts.get(permit.account());
		boolean outstanding = shares != null && shares.share(permit.grantor()).usedSlots() > 0;
		if (this.invariants.holds(outstanding, "permit-returned-once", Field.of("client-account", permit.account()))) {
			shares.share(permit.grantor()).finish(permit.tokens(), spentTokens);
			if (shares.hasShortfall(now)) {
				this.accountsWithUnmetDemand.add(shares);
			}
		}
	}

	/**
	 * Adds the shares of a grant. Duplicate, late and outdated grants are ignored.
	 * @param role the grantor that sent the grant
	 * @param grant the grant
	 * @param now this entry's monotonic clock in nanoseconds
	 * @return the client accounts whose waiting requests should be offered again
	 */
	public Collection<AccountId> handleGrant(GrantorRole role, LeaseGrant grant, long now) {
		Preconditions.notNull(role, "role");
		Preconditions.notNull(grant, "grant");
		OpenLeaseRequest request = channel(role).match(grant);
		if (request == null) {
			return List.of();
		}
		long amountUntil = request.sentAt() + this.settings.terms().holderLeaseNanos(this.settings.terms().rateTerm());
		long slotsUntil = request.sentAt() + this.settings.terms().holderLeaseNanos(this.settings.terms().slotTerm());
		List<AccountId> result = new ArrayList<>(grant.grants().size());
		for (AccountGrant each : grant.grants()) {
			AccountShares shares = this.accounts.get(each.account());
			AccountDemand demand = request.demands().get(each.account());
			if (shares != null && demand != null) {
				shares.share(role).addGrant(each, grant.term(), grant.sequence(), amountUntil, slotsUntil, now);
				shares.recordGrant(demand, each, now);
				result.add(each.account());
			}
		}
		return result;
	}

	/**
	 * Creates the lease requests that are due.
	 * @param now this entry's monotonic clock in nanoseconds
	 * @return the commands that send them
	 */
	public List<LimitCommand> tick(long now) {
		long interval = this.settings.terms().askInterval().toNanos();
		if (this.lastRegularRequestAt == Long.MIN_VALUE || now - this.lastRegularRequestAt >= interval) {
			this.lastRegularRequestAt = now;
			long oldest = now - this.settings.terms().slotTerm().toNanos();
			this.primary.discardBefore(oldest);
			this.reserve.discardBefore(oldest);
			List<LimitCommand> commands = createLeaseRequests(List.copyOf(this.accounts.values()), now);
			this.accounts.values().removeIf((shares) -> shares.isUnused(now));
			this.accountsWithUnmetDemand.clear();
			return commands;
		}
		boolean gapOver = this.lastRequestAt == Long.MIN_VALUE
				|| now - this.lastRequestAt >= this.settings.urgentGap().toNanos();
		if (this.accountsWithUnmetDemand.isEmpty() || !gapOver) {
			return List.of();
		}
		List<AccountShares> due = this.accountsWithUnmetDemand.stream()
			.filter((shares) -> shares.mayRequestEarly(now))
			.toList();
		return due.isEmpty() ? List.of() : createLeaseRequests(due, now);
	}

	/**
	 * Returns the number of client accounts tracked at this entry.
	 * @return the count
	 */
	public int accountsInUse() {
		return this.accounts.size();
	}

	/**
	 * Returns the in-flight slots of a client account at this entry: for each grantor,
	 * the slots held or the slots in use, whichever are more.
	 * @param account the client account
	 * @param now this entry's monotonic clock in nanoseconds
	 * @return the number of slots
	 */
	public long slots(AccountId account, long now) {
		AccountShares shares = this.accounts.get(account);
		return (shares != null) ? shares.slots(now) : 0;
	}

	/**
	 * Returns whether the primary grantor has not responded to lease requests for longer
	 * than a rate term.
	 * @param now this entry's monotonic clock in nanoseconds
	 * @return {@code true} if shares are to be requested from the reserve grantor as well
	 */
	public boolean isPrimarySilent(long now) {
		return this.primary.isSilent(this.settings.terms().rateTerm().toNanos(), now);
	}

	private LimitDecision decide(LimitRequest request, AccountShares shares, long waitUntil, long now) {
		for (GrantorRole role : GrantorRole.values()) {
			GrantedShare share = shares.share(role);
			if (share.canAdmit(request.tokens(), now)) {
				share.admit(request.tokens());
				return new LimitAdmitted(new LimitPermit(request.account(), role, request.tokens()));
			}
		}
		shares.recordUnadmitted(request);
		this.accountsWithUnmetDemand.add(shares);
		if (!shares.hasShortfall(now) && now < waitUntil) {
			return new LimitPending(waitUntil);
		}
		return refuse(request, findExhaustedLimit(request, shares, now), retryAfter(shares));
	}

	private LimitKind findExhaustedLimit(LimitRequest request, AccountShares shares, long now) {
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
		double wait = (rate > 0) ? (shares.unadmittedRequests() + 1) / rate
				: 2.0 * this.settings.terms().rateTerm().toNanos();
		return Duration.ofNanos((long) Math.max(shortest, Math.min(wait, longest)));
	}

	private Optional<LimitKind> findPermanentViolation(LimitRequest request) {
		Optional<AccountLimits> limits = this.source.limits(request.account());
		if (limits.isEmpty()) {
			return Optional.of(LimitKind.NOT_CONFIGURED);
		}
		double perSecond = this.settings.division().primaryLimits(limits.get()).tokensPerSecond();
		double burst = perSecond * this.settings.terms().burst().toNanos() / 1e9;
		return (request.tokens() > burst) ? Optional.of(LimitKind.REQUEST_SIZE) : Optional.empty();
	}

	private List<LimitCommand> createLeaseRequests(Collection<AccountShares> due, long now) {
		boolean useReserve = this.settings.division().reserveShare() > 0 && isPrimarySilent(now);
		List<AccountDemand> primaryDemands = new ArrayList<>(due.size());
		List<AccountDemand> reserveDemands = new ArrayList<>();
		for (AccountShares shares : due) {
			shares.demand(GrantorRole.PRIMARY, true, now).ifPresent(primaryDemands::add);
			if (useReserve || shares.share(GrantorRole.RESERVE).isInUse(now)) {
				shares.demand(GrantorRole.RESERVE, useReserve, now).ifPresent(reserveDemands::add);
			}
			shares.markRequested(now);
			this.accountsWithUnmetDemand.remove(shares);
		}
		List<LimitCommand> commands = new ArrayList<>(2);
		if (!primaryDemands.isEmpty()) {
			this.lastRequestAt = now;
			commands.add(new SendLeaseRequest(GrantorRole.PRIMARY, this.primary.createRequest(primaryDemands, now)));
		}
		if (!reserveDemands.isEmpty()) {
			commands.add(new SendLeaseRequest(GrantorRole.RESERVE, this.reserve.createRequest(reserveDemands, now)));
		}
		return commands;
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
