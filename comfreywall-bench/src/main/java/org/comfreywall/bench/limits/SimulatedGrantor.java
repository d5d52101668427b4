package org.comfreywall.bench.limits;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.lease.GrantorLimits;
import org.comfreywall.common.lease.LeaseGrant;
import org.comfreywall.common.lease.LeaseRequest;
import org.comfreywall.common.lease.LimitDivision;
import org.comfreywall.control.lease.LeaseLedger;
import org.comfreywall.control.lease.LeaseRequested;
import org.comfreywall.control.lease.LedgerCommand;
import org.comfreywall.control.lease.LimitsChanged;
import org.comfreywall.control.lease.SendGrant;
import org.comfreywall.control.lease.SlotReservation;

/**
 * Runs one lease ledger after another in virtual time.
 */
final class SimulatedGrantor {

	private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

	private final FleetSettings settings;

	private final boolean primary;

	private final DriftingClock clock;

	private final Invariants invariants;

	/** Survives restarts, as the replicated log does. */
	private final Map<AccountId, Long> reserved = new HashMap<>();

	private Term term = Term.ZERO;

	private LeaseLedger ledger;

	private long asks;

	private long demands;

	private long busyNanos;

	SimulatedGrantor(FleetSettings settings, boolean primary, DriftingClock clock, Invariants invariants) {
		this.settings = settings;
		this.primary = primary;
		this.clock = clock;
		this.invariants = invariants;
	}

	void restart(long trueTime) {
		this.term = this.term.next();
		long now = this.clock.read(trueTime);
		this.ledger = LeaseLedger.create(this.term, this.settings.limitSettings().terms(), now, DecisionListener.NONE,
				this.invariants);
		LimitDivision division = this.settings.limitSettings().division();
		for (int i = 0; i < this.settings.limits().size(); i++) {
			GrantorLimits part = this.primary ? division.primaryLimits(this.settings.limits().get(i))
					: division.reserveLimits(this.settings.limits().get(i));
			AccountId account = LimitsFleet.account(i);
			OptionalLong earlier = OptionalLong.of(this.reserved.getOrDefault(account, 0L));
			this.ledger.handle(new LimitsChanged(account, Optional.of(part), earlier), now);
		}
	}

	Optional<LeaseGrant> answer(LeaseRequest request, long trueTime) {
		this.asks++;
		this.demands += request.demands().size();
		long start = THREADS.getCurrentThreadCpuTime();
		long now = this.clock.read(trueTime);
		List<LedgerCommand> commands = this.ledger.handle(new LeaseRequested(request), now);
		request.demands().forEach((demand) -> reserve(demand.account(), now));
		this.busyNanos += THREADS.getCurrentThreadCpuTime() - start;
		return commands.stream().map((command) -> ((SendGrant) command).grant()).findFirst();
	}

	private void reserve(AccountId account, long now) {
		long present = this.reserved.getOrDefault(account, 0L);
		this.reserved.put(account, SlotReservation.next(present, this.ledger.outstandingSlots(account, now)));
	}

	DriftingClock clock() {
		return this.clock;
	}

	Term term() {
		return this.term;
	}

	long asks() {
		return this.asks;
	}

	long demands() {
		return this.demands;
	}

	long busyNanos() {
		return this.busyNanos;
	}

}
