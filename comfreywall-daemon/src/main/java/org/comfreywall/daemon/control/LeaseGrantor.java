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
import org.comfreywall.common.lease.LeaseGrant;
import org.comfreywall.common.lease.LeaseRequest;
import org.comfreywall.common.lease.LeaseTerms;
import org.comfreywall.common.lease.LimitPart;
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
import org.comfreywall.transport.control.LeaseCodec;
import org.comfreywall.transport.generated.LeaseCall;
import org.comfreywall.transport.generated.LeaseReply;

/**
 * Grants one part of the client accounts' limits while this instance is its grantor.
 * <p>
 * A new term begins with an empty ledger. While the leader's lease lapses within a term
 * nothing is granted, but the ledger is kept: no other grantor can have begun in between.
 */
final class LeaseGrantor {

	private final Function<AccountLimits, LimitPart> part;

	private final Optional<ReservationPort> reservations;

	private final Clock clock;

	private final DecisionListener decisions;

	private Configuration configuration = Configuration.EMPTY;

	private Term term = Term.ZERO;

	private Optional<LeaseLedger> ledger = Optional.empty();

	private Optional<SlotReserver> reserver = Optional.empty();

	private boolean loading;

	LeaseGrantor(Function<AccountLimits, LimitPart> part, Optional<ReservationPort> reservations, Clock clock,
			DecisionListener decisions) {
		this.part = part;
		this.reservations = reservations;
		this.clock = clock;
		this.decisions = decisions;
	}

	synchronized void configure(Configuration present) {
		Configuration before = this.configuration;
		this.configuration = present;
		this.ledger.ifPresent((grantor) -> change(grantor, before, present));
	}

	/**
	 * Takes note of the term under which this instance grants.
	 * @param granting the term, or empty if it is not the grantor
	 */
	synchronized void refresh(Optional<Term> granting) {
		Optional<Term> next = granting.filter((present) -> this.ledger.isEmpty() || !present.equals(this.term));
		next.ifPresent((present) -> {
			this.ledger = Optional.empty();
			this.term = present;
			this.reservations.ifPresentOrElse(this::load, () -> begin(Optional.empty()));
		});
	}

	private void load(ReservationPort port) {
		if (this.loading) {
			return;
		}
		this.loading = true;
		Term wanted = this.term;
		port.load().thenAccept((result) -> loaded(wanted, result.value().map((all) -> new SlotReserver(port, all))));
	}

	private synchronized void loaded(Term wanted, Optional<SlotReserver> fresh) {
		this.loading = false;
		if (wanted.equals(this.term) && this.ledger.isEmpty() && fresh.isPresent()) {
			begin(fresh);
		}
	}

	synchronized CompletionStage<Result<LeaseReply>> answer(LeaseCall call, Optional<Term> granting) {
		refresh(granting);
		if (granting.isEmpty() || this.ledger.isEmpty()) {
			return failure(ErrorCode.UNAVAILABLE, "this instance is not the grantor, or not yet");
		}
		try {
			return grant(LeaseCodec.decode(call)).map(this::replyOnceReserved)
				.orElseGet(() -> failure(ErrorCode.FENCED, "the request is outdated"));
		}
		catch (IllegalArgumentException ex) {
			return failure(ErrorCode.MALFORMED, "the request is malformed: " + ex.getMessage());
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
			durable = durable.thenCombine(cover(share.account()), (left, right) -> left && right);
		}
		Result<LeaseReply> reply = Result.success(LeaseCodec.encode(grant));
		Result<LeaseReply> refused = Result.failure(OperationError.local(ErrorCode.UNAVAILABLE, Step.ADMIT,
				"the reservation of in-flight slots is not durable"));
		return durable.thenApply((done) -> done ? reply : refused);
	}

	private CompletionStage<Boolean> cover(AccountId account) {
		long outstanding = this.ledger.orElseThrow().outstandingSlots(account, this.clock.nanoTime());
		return this.reserver.map((known) -> known.cover(account, outstanding))
			.orElseGet(() -> CompletableFuture.completedFuture(true));
	}

	private void begin(Optional<SlotReserver> fresh) {
		this.reserver = fresh;
		LeaseLedger opened = LeaseLedger.create(this.term, LeaseTerms.DEFAULT, this.clock.nanoTime(), this.decisions,
				new Invariants());
		change(opened, Configuration.EMPTY, this.configuration);
		this.ledger = Optional.of(opened);
	}

	private void change(LeaseLedger target, Configuration before, Configuration after) {
		for (AccountDescriptor account : before.accounts()) {
			if (after.account(account.id()).isEmpty()) {
				set(target, account.id(), Optional.empty());
			}
		}
		after.accounts()
			.forEach((account) -> set(target, account.id(), Optional.of(this.part.apply(account.limits()))));
	}

	private void set(LeaseLedger target, AccountId account, Optional<LimitPart> share) {
		OptionalLong earlierSlots = this.reserver.map((known) -> OptionalLong.of(known.reserved(account)))
			.orElseGet(OptionalLong::empty);
		target.handle(new LimitsChanged(account, share, earlierSlots), this.clock.nanoTime());
	}

	private static CompletionStage<Result<LeaseReply>> failure(ErrorCode code, String message) {
		return CompletableFuture.completedFuture(Result.failure(OperationError.local(code, Step.ADMIT, message)));
	}

}
