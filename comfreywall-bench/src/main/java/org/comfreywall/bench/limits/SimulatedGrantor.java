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
 * Simulates a lease grantor in virtual time. Each restart begins a new term with a new
 * lease ledger.
 */
final class SimulatedGrantor {

	private static final ThreadMXBean THREAD_BEAN = ManagementFactory.getThreadMXBean();

	private final FleetSettings settings;

	private final boolean primary;

	private final DriftingClock clock;

	private final Invariants invariants;

	/**
	 * The reserved slots of each client account. Kept across restarts, as they are in the
	 * replicated log.
	 */
	private final Map<AccountId, Long> reservedSlots = new HashMap<>();

	private Term term = Term.ZERO;

	private LeaseLedger ledger;

	private long leaseRequests;

	private long demands;

	private long busyNanos;

	SimulatedGrantor(FleetSettings settings, boolean primary, DriftingClock clock, Invariants invariants) {
		this.settings = settings;
		this.primary = primary;
		this.clock = clock;
		this.invariants = invariants;
	}

	/**
	 * Starts the next term with an empty ledger that has only the limits and the reserved
	 * slots.
	 * @param trueTime the true time in nanoseconds
	 */
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
			OptionalLong earlierSlots = OptionalLong.of(this.reservedSlots.getOrDefault(account, 0L));
			this.ledger.handle(new LimitsChanged(account, Optional.of(part), earlierSlots), now);
		}
	}

	/**
	 * Handles a lease request and adds the CPU time of the current thread to the busy
	 * time.
	 * @param request the request
	 * @param trueTime the true time in nanoseconds
	 * @return the grant, or empty if the ledger sends none
	 */
	Optional<LeaseGrant> handleLeaseRequest(LeaseRequest request, long trueTime) {
		this.leaseRequests++;
		this.demands += request.demands().size();
		long start = THREAD_BEAN.getCurrentThreadCpuTime();
		long now = this.clock.read(trueTime);
		List<LedgerCommand> commands = this.ledger.handle(new LeaseRequested(request), now);
		request.demands().forEach((demand) -> updateReservedSlots(demand.account(), now));
		this.busyNanos += THREAD_BEAN.getCurrentThreadCpuTime() - start;
		return commands.stream().map((command) -> ((SendGrant) command).grant()).findFirst();
	}

	private void updateReservedSlots(AccountId account, long now) {
		long current = this.reservedSlots.getOrDefault(account, 0L);
		this.reservedSlots.put(account, SlotReservation.next(current, this.ledger.outstandingSlots(account, now)));
	}

	DriftingClock clock() {
		return this.clock;
	}

	Term term() {
		return this.term;
	}

	long leaseRequests() {
		return this.leaseRequests;
	}

	long demands() {
		return this.demands;
	}

	long busyNanos() {
		return this.busyNanos;
	}

}
