package org.comfreywall.daemon.control;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

import org.comfreywall.common.config.AccountDescriptor;
import org.comfreywall.common.config.AccountLimits;
import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.lease.AccountGrant;
import org.comfreywall.common.lease.GrantorLimits;
import org.comfreywall.common.lease.LeaseGrant;
import org.comfreywall.common.lease.LeaseRequest;
import org.comfreywall.common.lease.LeaseTerms;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.time.Clock;
import org.comfreywall.control.lease.LeaseLedger;
import org.comfreywall.control.lease.LeaseRequested;
import org.comfreywall.control.lease.LedgerCommand;
import org.comfreywall.control.lease.LimitsChanged;
import org.comfreywall.control.lease.SendGrant;
import org.comfreywall.control.lease.SlotUse;
import org.comfreywall.transport.control.LeaseCodec;
import org.comfreywall.transport.generated.LeaseCall;
import org.comfreywall.transport.generated.LeaseReply;

/**
 * Grants one part of the client accounts' limits while this instance is the grantor of
 * that part.
 * <p>
 * Each term starts with an empty ledger. If the leader lease expires within a term,
 * nothing is granted until it is renewed, but the ledger is kept: only a newer term can
 * have another grantor.
 */
final class LeaseGrantor {

	private final Function<AccountLimits, GrantorLimits> limitPart;

	private final Optional<ReservationPort> reservations;

	private final Clock clock;

	private final DecisionListener decisions;

	private Configuration configuration = Configuration.EMPTY;

	private Term term = Term.ZERO;

	private Optional<LeaseLedger> ledger = Optional.empty();

	private Optional<SlotReserver> reserver = Optional.empty();

	private boolean loading;

	LeaseGrantor(Function<AccountLimits, GrantorLimits> limitPart, Optional<ReservationPort> reservations, Clock clock,
			DecisionListener decisions) {
		this.limitPart = limitPart;
		this.reservations = reservations;
		this.clock = clock;
		this.decisions = decisions;
	}

	synchronized void updateConfiguration(Configuration current) {
		Configuration before = this.configuration;
		this.configuration = current;
		this.ledger.ifPresent((opened) -> applyLimits(opened, before, current));
	}

	/**
	 * Starts a new ledger if the term differs from the ledger's; otherwise has no effect.
	 * @param granting the term in which this instance grants, or empty if it is not the
	 * grantor at present
	 */
	synchronized void updateTerm(Optional<Term> granting) {
		Optional<Term> next = granting.filter((present) -> this.ledger.isEmpty() || !present.equals(this.term));
		next.ifPresent((present) -> {
			this.ledger = Optional.empty();
			this.term = present;
			this.reservations.ifPresentOrElse(this::load, () -> startLedger(Optional.empty()));
		});
	}

	private void load(ReservationPort port) {
		if (this.loading) {
			return;
		}
		this.loading = true;
		Term loadTerm = this.term;
		port.load()
			.thenAccept((result) -> handleLoaded(loadTerm, result.value().map((all) -> new SlotReserver(port, all))));
	}

	private synchronized void handleLoaded(Term loadTerm, Optional<SlotReserver> loadedReserver) {
		this.loading = false;
		if (loadTerm.equals(this.term) && this.ledger.isEmpty() && loadedReserver.isPresent()) {
			startLedger(loadedReserver);
		}
	}

	synchronized CompletionStage<Result<LeaseReply>> handleRequest(LeaseCall call, Optional<Term> granting) {
		updateTerm(granting);
		if (granting.isEmpty() || this.ledger.isEmpty()) {
			return failure(ErrorCode.UNAVAILABLE,
					"this instance is not the grantor, or has not loaded the reservations yet");
		}
		try {
			return grant(LeaseCodec.decode(call)).map(this::replyOnceReserved)
				.orElseGet(() -> failure(ErrorCode.FENCED, "the lease request is outdated"));
		}
		catch (IllegalArgumentException ex) {
			return failure(ErrorCode.MALFORMED, "the lease request is malformed: " + ex.getMessage());
		}
	}

	private Optional<LeaseGrant> grant(LeaseRequest request) {
		List<LedgerCommand> commands = this.ledger.orElseThrow()
			.handle(new LeaseRequested(request), this.clock.nanoTime());
		return commands.stream()
			.filter(SendGrant.class::isInstance)
			.map((command) -> ((SendGrant) command).grant())
			.findFirst();
	}

	private CompletionStage<Result<LeaseReply>> replyOnceReserved(LeaseGrant grant) {
		CompletionStage<Boolean> durable = CompletableFuture.completedFuture(true);
		for (AccountGrant share : grant.grants()) {
			durable = durable.thenCombine(ensureReserved(share.account()), (left, right) -> left && right);
		}
		Result<LeaseReply> reply = Result.success(LeaseCodec.encode(grant));
		Result<LeaseReply> refused = Result.failure(OperationError.local(ErrorCode.UNAVAILABLE, Step.ADMIT,
				"the reservation of in-flight slots could not be made durable"));
		return durable.thenApply((done) -> done ? reply : refused);
	}

	private CompletionStage<Boolean> ensureReserved(AccountId account) {
		SlotUse use = this.ledger.orElseThrow().slotUse(account, this.clock.nanoTime());
		return this.reserver.map((current) -> current.ensureReserved(account, use))
			.orElseGet(() -> CompletableFuture.completedFuture(true));
	}

	private void startLedger(Optional<SlotReserver> loadedReserver) {
		this.reserver = loadedReserver;
		LeaseLedger opened = LeaseLedger.create(this.term, LeaseTerms.DEFAULT, this.clock.nanoTime(), this.decisions,
				new Invariants());
		applyLimits(opened, Configuration.EMPTY, this.configuration);
		this.ledger = Optional.of(opened);
	}

	private void applyLimits(LeaseLedger target, Configuration before, Configuration after) {
		for (AccountDescriptor account : before.accounts()) {
			if (after.account(account.id()).isEmpty()) {
				setLimit(target, account.id(), Optional.empty());
			}
		}
		after.accounts()
			.forEach((account) -> setLimit(target, account.id(), Optional.of(this.limitPart.apply(account.limits()))));
	}

	private void setLimit(LeaseLedger target, AccountId account, Optional<GrantorLimits> share) {
		OptionalLong earlierSlots = this.reserver.map((current) -> OptionalLong.of(current.reserved(account)))
			.orElseGet(OptionalLong::empty);
		target.handle(new LimitsChanged(account, share, earlierSlots), this.clock.nanoTime());
	}

	private static CompletionStage<Result<LeaseReply>> failure(ErrorCode code, String message) {
		return CompletableFuture.completedFuture(Result.failure(OperationError.local(code, Step.ADMIT, message)));
	}

}
