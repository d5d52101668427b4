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
 * Simulates a lease grantor in virtual time, on a clock that drifts from it. Each restart
 * begins a new term with a new lease ledger.
 */
final class SimulatedGrantor {

	private static final ThreadMXBean THREAD_BEAN = ManagementFactory.getThreadMXBean();

	private final FleetSettings settings;

	/** Whether this is the primary grantor rather than a reserve grantor. */
	private final boolean primary;

	private final DriftingClock clock;

	private final Invariants invariants;

	/**
	 * The reserved slots of each client account. Survives restarts, because a real
	 * grantor stores its reservations in the replicated log.
	 */
	private final Map<AccountId, Long> reservedSlots = new HashMap<>();

	private Term term = Term.ZERO;

	private LeaseLedger ledger;

	private long leaseRequests;

	/** The number of account demands received in all lease requests. */
	private long demands;

	private long cpuNanos;

	SimulatedGrantor(FleetSettings settings, boolean primary, DriftingClock clock, Invariants invariants) {
		this.settings = settings;
		this.primary = primary;
		this.clock = clock;
		this.invariants = invariants;
	}

	/**
	 * Starts the grantor, or restarts it, in the next term with a new ledger. Of the
	 * earlier state, only the reserved slots are passed to the new ledger.
	 * @param trueTime the simulation's time in nanoseconds, without clock drift
	 */
	void restart(long trueTime) {
		this.term = this.term.next();
		long now = this.clock.read(trueTime);
		this.ledger = LeaseLedger.create(this.term, this.settings.limitSettings().terms(), now, DecisionListener.NONE,
				this.invariants);
		LimitDivision division = this.settings.limitSettings().division();
		for (int i = 0; i < this.settings.limits().size(); i++) {
			GrantorLimits grantorLimits = this.primary ? division.primaryLimits(this.settings.limits().get(i))
					: division.reserveLimits(this.settings.limits().get(i));
			AccountId account = LimitsFleet.account(i);
			OptionalLong earlierSlots = OptionalLong.of(this.reservedSlots.getOrDefault(account, 0L));
			this.ledger.handle(new LimitsChanged(account, Optional.of(grantorLimits), earlierSlots), now);
		}
	}

	/**
	 * Handles a lease request and adds the CPU time spent on it to {@link #busyNanos()}.
	 * @param request the request
	 * @param trueTime the simulation's time in nanoseconds, without clock drift
	 * @return the grant, or empty if the request is out of order or its holder has seen a
	 * newer term
	 */
	Optional<LeaseGrant> handleLeaseRequest(LeaseRequest request, long trueTime) {
		this.leaseRequests++;
		this.demands += request.demands().size();
		long start = THREAD_BEAN.getCurrentThreadCpuTime();
		long now = this.clock.read(trueTime);
		List<LedgerCommand> commands = this.ledger.handle(new LeaseRequested(request), now);
		request.demands().forEach((demand) -> updateReservedSlots(demand.account(), now));
		this.cpuNanos += THREAD_BEAN.getCurrentThreadCpuTime() - start;
		return commands.stream().map((command) -> ((SendGrant) command).grant()).findFirst();
	}

	private void updateReservedSlots(AccountId account, long now) {
		long reserved = this.reservedSlots.getOrDefault(account, 0L);
		this.reservedSlots.put(account, SlotReservation.next(reserved, this.ledger.slotUse(account, now)));
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

	/**
	 * Returns the number of account demands received in all lease requests.
	 * @return the number of demands
	 */
	long demands() {
		return this.demands;
	}

	/**
	 * Returns the CPU time spent on lease requests.
	 * @return the CPU time in nanoseconds
	 */
	long busyNanos() {
		return this.cpuNanos;
	}

}
