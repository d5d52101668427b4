package org.comfreywall.control.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.lease.AccountDemand;
import org.comfreywall.common.lease.AccountGrant;
import org.comfreywall.common.lease.GrantorLimits;
import org.comfreywall.common.lease.LeaseGrant;
import org.comfreywall.common.lease.LeaseRequest;
import org.comfreywall.common.lease.LeaseTerms;
import org.comfreywall.common.util.Preconditions;

/**
 * Leases shares of the client accounts' limits to entry instances so that the unexpired
 * leases never exceed a limit.
 * <p>
 * Requests and tokens are granted as amounts to be spent once within a term; in-flight
 * slots are granted as a share that each new grant replaces. The ledger is not stored:
 * after a takeover, a new ledger starts with empty token buckets once the earlier grants
 * have expired, and lets each holder keep the slots that it reports until the longest
 * request has ended. Only one ledger for a part of the limits may grant at a time; the
 * caller creates it on becoming the leader of a new term and discards it on losing the
 * leadership.
 * <p>
 * Tracks at most {@value #MAX_ACCOUNTS} client accounts with 4,096 holders each, and
 * remembers the sequence numbers of {@value #MAX_HOLDER_PROCESSES} holder processes. Not
 * thread-safe.
 */
public final class LeaseLedger {

	private static final int MAX_ACCOUNTS = 65_536;

	private static final int MAX_HOLDER_PROCESSES = 65_536;

	private static final GrantorLimits NO_LIMITS = new GrantorLimits(0, 0, 0);

	private final LedgerContext context;

	private final Map<AccountId, AccountLedger> accounts = new HashMap<>();

	private final Map<HolderKey, Long> sequences = new LinkedHashMap<>();

	private LeaseLedger(LedgerContext context) {
		this.context = context;
	}

	/**
	 * Creates a ledger for a new term, which holds back what grants of earlier terms may
	 * still use.
	 * @param term the term of the leader that grants, at least 1
	 * @param terms the durations agreed with all holders
	 * @param now the grantor's monotonic clock in nanoseconds
	 * @param listener receives a record of each grant below the demand
	 * @param invariants checks the invariants
	 * @return the ledger, without any limits
	 */
	public static LeaseLedger create(Term term, LeaseTerms terms, long now, DecisionListener listener,
			Invariants invariants) {
		Preconditions.notNull(term, "term");
		Preconditions.check(Term.ZERO.isBefore(term), "term must be at least 1: %s", term);
		Preconditions.notNull(terms, "terms");
		Preconditions.notNull(listener, "listener");
		Preconditions.notNull(invariants, "invariants");
		return new LeaseLedger(LedgerContext.startingAt(term, terms, now, listener, invariants));
	}

	/**
	 * Handles one event.
	 * @param event the event
	 * @param now the grantor's monotonic clock in nanoseconds
	 * @return the commands to execute
	 */
	public List<LedgerCommand> handle(LedgerEvent event, long now) {
		Preconditions.notNull(event, "event");
		if (event instanceof LeaseRequested requested) {
			return onLeaseRequest(requested.request(), now);
		}
		onLimitsChanged((LimitsChanged) event, now);
		return List.of();
	}

	/**
	 * Returns the in-flight slots that this ledger's holders may be using.
	 * @param account the client account
	 * @param now the grantor's monotonic clock in nanoseconds
	 * @return the number of slots
	 */
	public long committedSlots(AccountId account, long now) {
		AccountLedger ledger = this.accounts.get(account);
		return (ledger != null) ? ledger.committedSlots(now) : 0;
	}

	/**
	 * Returns the in-flight slots that may be in use, including slots granted by earlier
	 * grantors.
	 * @param account the client account
	 * @param now the grantor's monotonic clock in nanoseconds
	 * @return the slots
	 */
	public SlotUse slotUse(AccountId account, long now) {
		AccountLedger ledger = this.accounts.get(account);
		return (ledger != null) ? ledger.slotUse(now) : SlotUse.NONE;
	}

	/**
	 * Returns the granted requests that have not expired.
	 * @param account the client account
	 * @param now the grantor's monotonic clock in nanoseconds
	 * @return the number of requests
	 */
	public long unexpiredRequests(AccountId account, long now) {
		AccountLedger ledger = this.accounts.get(account);
		return (ledger != null) ? ledger.unexpiredRequests(now) : 0;
	}

	/**
	 * Returns the granted tokens that have not expired.
	 * @param account the client account
	 * @param now the grantor's monotonic clock in nanoseconds
	 * @return the number of tokens
	 */
	public long unexpiredTokens(AccountId account, long now) {
		AccountLedger ledger = this.accounts.get(account);
		return (ledger != null) ? ledger.unexpiredTokens(now) : 0;
	}

	/**
	 * Returns the number of holders tracked for all client accounts together.
	 * @return the count
	 */
	public int holders() {
		return this.accounts.values().stream().mapToInt(AccountLedger::holders).sum();
	}

	private void onLimitsChanged(LimitsChanged event, long now) {
		AccountLedger ledger = this.accounts.get(event.account());
		if (ledger == null && event.grantorLimits().isPresent()) {
			ledger = add(event, now);
		}
		if (ledger != null) {
			ledger.configure(event.grantorLimits().orElse(NO_LIMITS));
		}
	}

	private AccountLedger add(LimitsChanged event, long now) {
		if (this.accounts.size() >= MAX_ACCOUNTS) {
			this.accounts.values().removeIf((ledger) -> ledger.isUnused(now));
		}
		Preconditions.check(this.accounts.size() < MAX_ACCOUNTS, "more than the maximum of %d client accounts",
				MAX_ACCOUNTS);
		AccountLedger ledger = new AccountLedger(event.account(), this.context, event.earlierSlots());
		this.accounts.put(event.account(), ledger);
		return ledger;
	}

	// Ignores requests of a holder that has seen a newer term, and reordered ones.
	private List<LedgerCommand> onLeaseRequest(LeaseRequest request, long now) {
		HolderKey key = new HolderKey(request.holder(), request.incarnation());
		if (this.context.term().isBefore(request.term()) || !advanceSequence(key, request.sequence())) {
			return List.of();
		}
		List<AccountGrant> grants = new ArrayList<>(request.demands().size());
		for (AccountDemand demand : request.demands()) {
			AccountLedger ledger = this.accounts.get(demand.account());
			if (ledger != null) {
				grants.add(ledger.handleDemand(key, request.sequence(), request.term(), demand, now));
			}
		}
		LeaseGrant grant = new LeaseGrant(this.context.term(), request.holder(), request.incarnation(),
				request.sequence(), grants);
		return List.of(new SendGrant(grant));
	}

	// Records the sequence number and returns whether it is newer than the last one.
	private boolean advanceSequence(HolderKey key, long sequence) {
		Long last = this.sequences.remove(key);
		boolean newer = last == null || last < sequence;
		this.sequences.put(key, newer ? Long.valueOf(sequence) : last);
		if (this.sequences.size() > MAX_HOLDER_PROCESSES) {
			this.sequences.remove(this.sequences.keySet().iterator().next());
		}
		return newer;
	}

}
