package org.comfreywall.bench.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.entry.limit.LimitEnforcer;
import org.comfreywall.entry.limit.LimitSettings;
import org.comfreywall.entry.limit.LimitSource;

/**
 * Simulates the limit enforcement of an entry instance in virtual time. Each restart
 * begins a new incarnation.
 */
final class SimulatedEntry {

	private final int index;

	private final DriftingClock clock;

	private final LimitSettings settings;

	private final LimitSource source;

	private final Invariants invariants;

	private final Map<AccountId, List<PendingOffer>> pendingOffers = new HashMap<>();

	private Incarnation incarnation = Incarnation.ZERO;

	private LimitEnforcer enforcer;

	SimulatedEntry(int index, DriftingClock clock, LimitSettings settings, LimitSource limitSource,
			Invariants invariants) {
		this.index = index;
		this.clock = clock;
		this.settings = settings;
		this.source = limitSource;
		this.invariants = invariants;
		restart();
	}

	/**
	 * Starts the next incarnation, without the leases and waiting requests of the last
	 * one.
	 */
	void restart() {
		this.incarnation = this.incarnation.next();
		this.pendingOffers.clear();
		this.enforcer = new LimitEnforcer(InstanceId.of("entry-" + this.index), this.incarnation, this.settings,
				this.source, DecisionListener.NONE, this.invariants);
	}

	/**
	 * Adds a request that waits for a grant to its client account.
	 * @param offer the request
	 */
	void addPending(PendingOffer offer) {
		this.pendingOffers.computeIfAbsent(offer.request().account(), (account) -> new ArrayList<>()).add(offer);
	}

	/**
	 * Removes and returns the requests of a client account that wait for a grant.
	 * @param account the client account
	 * @return the requests in order of arrival
	 */
	List<PendingOffer> removePending(AccountId account) {
		List<PendingOffer> result = this.pendingOffers.remove(account);
		return (result != null) ? result : List.of();
	}

	int index() {
		return this.index;
	}

	DriftingClock clock() {
		return this.clock;
	}

	Incarnation incarnation() {
		return this.incarnation;
	}

	LimitEnforcer enforcer() {
		return this.enforcer;
	}

}
