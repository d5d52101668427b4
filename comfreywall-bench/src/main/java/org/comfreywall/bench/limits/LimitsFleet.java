package org.comfreywall.bench.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.lease.AccountDemand;
import org.comfreywall.common.lease.AccountGrant;
import org.comfreywall.common.lease.LeaseGrant;
import org.comfreywall.common.lease.LeaseRequest;
import org.comfreywall.entry.limit.GrantorRole;
import org.comfreywall.entry.limit.LimitAdmitted;
import org.comfreywall.entry.limit.LimitCommand;
import org.comfreywall.entry.limit.LimitDecision;
import org.comfreywall.entry.limit.LimitPending;
import org.comfreywall.entry.limit.LimitPermit;
import org.comfreywall.entry.limit.LimitRequest;
import org.comfreywall.entry.limit.LimitSource;
import org.comfreywall.entry.limit.SendLeaseRequest;

/**
 * Simulates entry instances and lease grantors that exchange messages over a network, in
 * virtual time. An audit of each client account checks its limits over the whole fleet.
 */
final class LimitsFleet {

	private final FleetSettings settings;

	private final RandomGenerator random;

	private final SimulatedNetwork network;

	private final EventQueue events = new EventQueue();

	private final Invariants invariants = new Invariants();

	private final List<SimulatedEntry> entries = new ArrayList<>();

	private final List<SimulatedGrantor> grantors = new ArrayList<>();

	private final List<AccountAudit> audits = new ArrayList<>();

	private final Map<AccountId, Integer> accountIndexes = new HashMap<>();

	private long requestNumber;

	LimitsFleet(FleetSettings settings, RandomGenerator random, SimulatedNetwork network) {
		this.settings = settings;
		this.random = random;
		this.network = network;
		for (int i = 0; i < settings.limits().size(); i++) {
			this.accountIndexes.put(account(i), i);
			this.audits.add(new AccountAudit(settings.limits().get(i), settings.limitSettings().terms(),
					settings.limitSettings().division()));
		}
		LimitSource limitSource = (account) -> Optional.ofNullable(this.accountIndexes.get(account))
			.map(settings.limits()::get);
		for (int i = 0; i <= settings.limitSettings().division().reserveGrantors(); i++) {
			SimulatedGrantor grantor = new SimulatedGrantor(settings, i == 0, newClock(), this.invariants);
			grantor.restart(0);
			this.grantors.add(grantor);
		}
		for (int i = 0; i < settings.entries(); i++) {
			SimulatedEntry entry = new SimulatedEntry(i, newClock(), settings.limitSettings(), limitSource,
					this.invariants);
			this.entries.add(entry);
			this.events.schedule(random.nextLong(settings.tickNanos()), () -> tick(entry));
		}
	}

	static AccountId account(int index) {
		return AccountId.of("account-" + index);
	}

	/**
	 * Offers a request to an entry instance.
	 * @param entryIndex the index of the entry instance
	 * @param accountIndex the index of the client account
	 * @param tokens the tokens that the request reserves; a random part of them is used
	 * @param runNanos the time in nanoseconds that the request runs once it is admitted
	 */
	void offer(int entryIndex, int accountIndex, long tokens, long runNanos) {
		SimulatedEntry entry = this.entries.get(entryIndex);
		this.requestNumber++;
		LimitRequest request = new LimitRequest(RequestId.of("request-" + this.requestNumber), account(accountIndex),
				tokens);
		this.audits.get(accountIndex).recordOffer();
		LimitDecision decision = entry.enforcer().offer(request, localTime(entry));
		applyDecision(entry, new PendingOffer(accountIndex, request, 0, runNanos), decision);
	}

	void restartEntry(int index) {
		this.entries.get(index).restart();
	}

	void restartGrantor(int index) {
		this.grantors.get(index).restart(this.events.now());
	}

	void changeClockRates() {
		this.entries.forEach((entry) -> entry.clock().changeRate(this.events.now(), this.random));
		this.grantors.forEach((grantor) -> grantor.clock().changeRate(this.events.now(), this.random));
	}

	/**
	 * Audits the number of in-flight slots that all entry instances together hold or use.
	 * @param accountIndex the index of the client account
	 */
	void auditSlots(int accountIndex) {
		AccountId account = account(accountIndex);
		long sum = 0;
		for (SimulatedEntry entry : this.entries) {
			sum += entry.enforcer().slots(account, localTime(entry));
		}
		this.audits.get(accountIndex).recordSlots(sum);
	}

	EventQueue events() {
		return this.events;
	}

	List<AccountAudit> audits() {
		return this.audits;
	}

	SimulatedGrantor grantor(int index) {
		return this.grantors.get(index);
	}

	long invariantViolations() {
		return this.invariants.violations();
	}

	private void applyDecision(SimulatedEntry entry, PendingOffer offer, LimitDecision decision) {
		if (decision instanceof LimitAdmitted admitted) {
			startRequest(entry, offer, admitted.permit());
		}
		else if (decision instanceof LimitPending pending) {
			entry.addPending(new PendingOffer(offer.account(), offer.request(), pending.waitUntil(), offer.runNanos()));
		}
		else {
			this.audits.get(offer.account()).recordRefusal();
		}
	}

	private void startRequest(SimulatedEntry entry, PendingOffer offer, LimitPermit permit) {
		AccountAudit audit = this.audits.get(offer.account());
		audit.recordAdmission(entry.index(), grantorIndex(entry, permit.grantor()), permit.tokens(), this.events.now());
		long usedTokens = (long) (permit.tokens() * this.random.nextDouble());
		Incarnation incarnation = entry.incarnation();
		this.events.scheduleAfter(offer.runNanos(), () -> {
			audit.recordEnd();
			if (entry.incarnation().equals(incarnation)) {
				entry.enforcer().returnPermit(permit, usedTokens, localTime(entry));
			}
		});
	}

	private void tick(SimulatedEntry entry) {
		for (LimitCommand command : entry.enforcer().tick(localTime(entry))) {
			SendLeaseRequest message = (SendLeaseRequest) command;
			int grantor = grantorIndex(entry, message.grantor());
			long sentAt = this.events.now();
			for (long delay : this.network.deliveryDelays(entry.index(), grantor)) {
				this.events.scheduleAfter(delay, () -> handleLeaseRequest(entry, message, grantor, sentAt));
			}
		}
		this.events.scheduleAfter(this.settings.tickNanos(), () -> tick(entry));
	}

	private void handleLeaseRequest(SimulatedEntry entry, SendLeaseRequest message, int grantorIndex, long sentAt) {
		SimulatedGrantor grantor = this.grantors.get(grantorIndex);
		Optional<LeaseGrant> grant = grantor.handleLeaseRequest(message.request(), this.events.now());
		if (grant.isEmpty()) {
			return;
		}
		auditGrant(grantorIndex, message.request(), grant.get(), sentAt);
		for (long delay : this.network.deliveryDelays(entry.index(), grantorIndex)) {
			this.events.scheduleAfter(delay, () -> handleGrant(entry, message.grantor(), grant.get()));
		}
	}

	/**
	 * Records the refunds and grants of an answered lease request. Refunds count only in
	 * the term for which they were sent. The grants are taken as valid for a rate term
	 * from the time at which the request was sent.
	 * @param grantor the index of the grantor
	 * @param request the lease request
	 * @param grant the answer
	 * @param sentAt the true time in nanoseconds at which the request was sent
	 */
	private void auditGrant(int grantor, LeaseRequest request, LeaseGrant grant, long sentAt) {
		long now = this.events.now();
		if (request.term().equals(this.grantors.get(grantor).term())) {
			for (AccountDemand demand : request.demands()) {
				auditOf(demand.account()).recordRefund(grantor, demand.refundedTokens(), now);
			}
		}
		long expiresAt = sentAt + this.settings.limitSettings().terms().rateTerm().toNanos();
		for (AccountGrant accountGrant : grant.grants()) {
			auditOf(accountGrant.account()).recordGrant(accountGrant.requests(), accountGrant.tokens(), expiresAt, now);
		}
	}

	private void handleGrant(SimulatedEntry entry, GrantorRole role, LeaseGrant grant) {
		long now = localTime(entry);
		for (AccountId account : entry.enforcer().handleGrant(role, grant, now)) {
			for (PendingOffer offer : entry.removePending(account)) {
				applyDecision(entry, offer, entry.enforcer().offerAgain(offer.request(), offer.until(), now));
			}
		}
	}

	/**
	 * Returns the index of a grantor. Index 0 is the primary grantor; the reserve
	 * grantors are spread over the entry instances.
	 * @param entry the entry instance
	 * @param role the role of the grantor
	 * @return the index of the grantor
	 */
	private int grantorIndex(SimulatedEntry entry, GrantorRole role) {
		int reserves = this.settings.limitSettings().division().reserveGrantors();
		return (role == GrantorRole.PRIMARY) ? 0 : 1 + entry.index() % reserves;
	}

	private AccountAudit auditOf(AccountId account) {
		return this.audits.get(this.accountIndexes.get(account));
	}

	private long localTime(SimulatedEntry entry) {
		return entry.clock().read(this.events.now());
	}

	private DriftingClock newClock() {
		return new DriftingClock(this.settings.clockDrift(), this.random);
	}

}
