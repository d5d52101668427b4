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
import org.comfreywall.common.lease.LeaseGrant;
import org.comfreywall.common.lease.LeaseRequest;
import org.comfreywall.common.lease.LeaseTerms;
import org.comfreywall.common.lease.LimitPart;
import org.comfreywall.common.util.Preconditions;

/**
 * Leases shares of the client accounts' limits to entry instances such that the live
 * leases never exceed a limit.
 * <p>
 * Requests and tokens are granted as amounts to be spent once within a term; in-flight
 * slots are granted as a share that each answer replaces. Nothing is stored: a ledger
 * that takes over starts with empty buckets once the earlier grants have ended, and
 * leaves each holder the slots it reports until the longest request has ended. Only one
 * ledger for a part of the limits may answer at a time; the caller creates it when it
 * holds the leadership of a new term and drops it when it loses that.
 * <p>
 * Tracks at most {@value #MAX_ACCOUNTS} client accounts with 4,096 holders each, and
 * remembers the sequence numbers of {@value #MAX_HOLDER_PROCESSES} holder processes. Not
 * safe for use by several threads.
 */
public final class LeaseLedger {

	private static final int MAX_ACCOUNTS = 65_536;

	private static final int MAX_HOLDER_PROCESSES = 65_536;

	private static final LimitPart NOTHING = new LimitPart(0, 0, 0);

	private final LedgerContext context;

	private final Map<AccountId, AccountLedger> accounts = new HashMap<>();

	private final Map<HolderKey, Long> sequences = new LinkedHashMap<>();

	private LeaseLedger(LedgerContext context) {
		this.context = context;
	}

	/**
	 * Creates a ledger that begins a term and waits until the grants of earlier terms
	 * have ended.
	 * @param term the term of the leadership under which it grants, at least 1
	 * @param terms the durations agreed with all holders
	 * @param now the grantor's monotonic clock in nanoseconds
	 * @param listener receives a record of each grant that falls short of its demand
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
	 * Takes in one event.
	 * @param event the event
	 * @param now the grantor's monotonic clock in nanoseconds
	 * @return what is to be done
	 */
	public List<LedgerCommand> handle(LedgerEvent event, long now) {
		Preconditions.notNull(event, "event");
		if (event instanceof LeaseRequested requested) {
			return answer(requested.request(), now);
		}
		change((LimitsChanged) event, now);
		return List.of();
	}

	/**
	 * Returns the in-flight slots that holders may be using.
	 * @param account the client account
	 * @param now the grantor's monotonic clock in nanoseconds
	 * @return the number of slots
	 */
	public long committedSlots(AccountId account, long now) {
		AccountLedger ledger = this.accounts.get(account);
		return (ledger != null) ? ledger.committedSlots(now) : 0;
	}

	/**
	 * Returns the in-flight slots that may be in use, those of earlier grantors included.
	 * @param account the client account
	 * @param now the grantor's monotonic clock in nanoseconds
	 * @return the number of slots
	 */
	public long outstandingSlots(AccountId account, long now) {
		AccountLedger ledger = this.accounts.get(account);
		return (ledger != null) ? ledger.outstandingSlots(now) : 0;
	}

	/**
	 * Returns the granted requests whose term has not ended.
	 * @param account the client account
	 * @param now the grantor's monotonic clock in nanoseconds
	 * @return the number of requests
	 */
	public long liveRequests(AccountId account, long now) {
		AccountLedger ledger = this.accounts.get(account);
		return (ledger != null) ? ledger.liveRequests(now) : 0;
	}

	/**
	 * Returns the granted tokens whose term has not ended.
	 * @param account the client account
	 * @param now the grantor's monotonic clock in nanoseconds
	 * @return the number of tokens
	 */
	public long liveTokens(AccountId account, long now) {
		AccountLedger ledger = this.accounts.get(account);
		return (ledger != null) ? ledger.liveTokens(now) : 0;
	}

	/**
	 * Returns the number of holders tracked for all client accounts together.
	 * @return the count
	 */
	public int holders() {
		return this.accounts.values().stream().mapToInt(AccountLedger::holders).sum();
	}

	private void change(LimitsChanged event, long now) {
		AccountLedger ledger = this.accounts.get(event.account());
		if (ledger == null && event.part().isPresent()) {
			ledger = add(event, now);
		}
		if (ledger != null) {
			ledger.configure(event.part().orElse(NOTHING));
		}
	}

	private AccountLedger add(LimitsChanged event, long now) {
		if (this.accounts.size() >= MAX_ACCOUNTS) {
			this.accounts.values().removeIf((ledger) -> ledger.isUnused(now));
		}
		Preconditions.check(this.accounts.size() < MAX_ACCOUNTS, "more than %d client accounts", MAX_ACCOUNTS);
		AccountLedger ledger = new AccountLedger(event.account(), this.context, event.earlierSlots());
		this.accounts.put(event.account(), ledger);
		return ledger;
	}

	private List<LedgerCommand> answer(LeaseRequest request, long now) {
		HolderKey key = new HolderKey(request.holder(), request.incarnation());
		if (this.context.term().isBefore(request.term()) || !advance(key, request.sequence())) {
			return List.of();
		}
		List<AccountGrant> grants = new ArrayList<>(request.demands().size());
		for (AccountDemand demand : request.demands()) {
			AccountLedger ledger = this.accounts.get(demand.account());
			if (ledger != null) {
				grants.add(ledger.answer(key, request.sequence(), request.term(), demand, now));
			}
		}
		LeaseGrant grant = new LeaseGrant(this.context.term(), request.holder(), request.incarnation(),
				request.sequence(), grants);
		return List.of(new SendGrant(grant));
	}

	private boolean advance(HolderKey key, long sequence) {
		Long last = this.sequences.remove(key);
		boolean newer = last == null || last < sequence;
		this.sequences.put(key, newer ? Long.valueOf(sequence) : last);
		if (this.sequences.size() > MAX_HOLDER_PROCESSES) {
			this.sequences.remove(this.sequences.keySet().iterator().next());
		}
		return newer;
	}

}
