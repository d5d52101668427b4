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
 * Entries and grantors joined by links, in virtual time, with an audit of each client
 * account.
 */
final class LimitsFleet {

	private final FleetSettings settings;

	private final RandomGenerator random;

	private final Link link;

	private final EventQueue events = new EventQueue();

	private final Invariants invariants = new Invariants();

	private final List<SimulatedEntry> entries = new ArrayList<>();

	private final List<SimulatedGrantor> grantors = new ArrayList<>();

	private final List<AccountAudit> audits = new ArrayList<>();

	private final Map<AccountId, Integer> indexes = new HashMap<>();

	private long requestNumber;

	LimitsFleet(FleetSettings settings, RandomGenerator random, Link link) {
		this.settings = settings;
		this.random = random;
		this.link = link;
		for (int i = 0; i < settings.limits().size(); i++) {
			this.indexes.put(account(i), i);
			this.audits.add(new AccountAudit(settings.limits().get(i), settings.limitSettings().terms(),
					settings.limitSettings().division()));
		}
		LimitSource source = (account) -> Optional.ofNullable(this.indexes.get(account)).map(settings.limits()::get);
		for (int i = 0; i <= settings.limitSettings().division().reserveGrantors(); i++) {
			SimulatedGrantor grantor = new SimulatedGrantor(settings, i == 0, clock(), this.invariants);
			grantor.restart(0);
			this.grantors.add(grantor);
		}
		for (int i = 0; i < settings.entries(); i++) {
			SimulatedEntry entry = new SimulatedEntry(i, clock(), settings.limitSettings(), source, this.invariants);
			this.entries.add(entry);
			this.events.at(random.nextLong(settings.tickNanos()), () -> tick(entry));
		}
	}

	static AccountId account(int index) {
		return AccountId.of("account-" + index);
	}

	void offer(int entryIndex, int accountIndex, long tokens, long runNanos) {
		SimulatedEntry entry = this.entries.get(entryIndex);
		this.requestNumber++;
		LimitRequest request = new LimitRequest(RequestId.of("request-" + this.requestNumber), account(accountIndex),
				tokens);
		this.audits.get(accountIndex).offered();
		LimitDecision decision = entry.enforcer().offer(request, localTime(entry));
		apply(entry, new WaitingOffer(accountIndex, request, 0, runNanos), decision);
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
	 * Notes the in-flight slots that all entries together hold or use.
	 * @param accountIndex the client account
	 */
	void auditSlots(int accountIndex) {
		AccountId account = account(accountIndex);
		long sum = 0;
		for (SimulatedEntry entry : this.entries) {
			sum += entry.enforcer().slots(account, localTime(entry));
		}
		this.audits.get(accountIndex).held(sum);
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

	long breaches() {
		return this.invariants.violations();
	}

	private void apply(SimulatedEntry entry, WaitingOffer offer, LimitDecision decision) {
		if (decision instanceof LimitAdmitted admitted) {
			run(entry, offer, admitted.permit());
		}
		else if (decision instanceof LimitPending pending) {
			entry.park(new WaitingOffer(offer.account(), offer.request(), pending.until(), offer.runNanos()));
		}
		else {
			this.audits.get(offer.account()).refused();
		}
	}

	private void run(SimulatedEntry entry, WaitingOffer offer, LimitPermit permit) {
		AccountAudit audit = this.audits.get(offer.account());
		audit.admitted(entry.index(), grantorFor(entry, permit.grantor()), permit.tokens(), this.events.now());
		long spent = (long) (permit.tokens() * this.random.nextDouble());
		Incarnation incarnation = entry.incarnation();
		this.events.after(offer.runNanos(), () -> {
			audit.ended();
			if (entry.incarnation().equals(incarnation)) {
				entry.enforcer().returnPermit(permit, spent, localTime(entry));
			}
		});
	}

	private void tick(SimulatedEntry entry) {
		for (LimitCommand command : entry.enforcer().tick(localTime(entry))) {
			SendLeaseRequest ask = (SendLeaseRequest) command;
			int grantor = grantorFor(entry, ask.grantor());
			long sentAt = this.events.now();
			for (long delay : this.link.deliver(entry.index(), grantor)) {
				this.events.after(delay, () -> arrive(entry, ask, grantor, sentAt));
			}
		}
		this.events.after(this.settings.tickNanos(), () -> tick(entry));
	}

	private void arrive(SimulatedEntry entry, SendLeaseRequest ask, int grantorIndex, long sentAt) {
		SimulatedGrantor grantor = this.grantors.get(grantorIndex);
		Optional<LeaseGrant> grant = grantor.answer(ask.request(), this.events.now());
		if (grant.isEmpty()) {
			return;
		}
		auditAnswer(grantorIndex, ask.request(), grant.get(), sentAt);
		for (long delay : this.link.deliver(entry.index(), grantorIndex)) {
			this.events.after(delay, () -> granted(entry, ask.grantor(), grant.get()));
		}
	}

	private void auditAnswer(int grantor, LeaseRequest request, LeaseGrant grant, long sentAt) {
		long now = this.events.now();
		if (request.term().equals(this.grantors.get(grantor).term())) {
			for (AccountDemand demand : request.demands()) {
				audit(demand.account()).refunded(grantor, demand.refundedTokens(), now);
			}
		}
		long until = sentAt + this.settings.limitSettings().terms().rateTerm().toNanos();
		for (AccountGrant each : grant.grants()) {
			audit(each.account()).granted(each.requests(), each.tokens(), until, now);
		}
	}

	private void granted(SimulatedEntry entry, GrantorRole role, LeaseGrant grant) {
		long now = localTime(entry);
		for (AccountId account : entry.enforcer().handleGrant(role, grant, now)) {
			for (WaitingOffer offer : entry.unpark(account)) {
				apply(entry, offer, entry.enforcer().offerAgain(offer.request(), offer.until(), now));
			}
		}
	}

	private int grantorFor(SimulatedEntry entry, GrantorRole role) {
		int reserves = this.settings.limitSettings().division().reserveGrantors();
		return (role == GrantorRole.PRIMARY) ? 0 : 1 + entry.index() % reserves;
	}

	private AccountAudit audit(AccountId account) {
		return this.audits.get(this.indexes.get(account));
	}

	private long localTime(SimulatedEntry entry) {
		return entry.clock().read(this.events.now());
	}

	private DriftingClock clock() {
		return new DriftingClock(this.settings.clockDrift(), this.random);
	}

}
