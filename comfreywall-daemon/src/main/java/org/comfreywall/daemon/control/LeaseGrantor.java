package org.comfreywall.daemon.control;

import java.util.List;
import java.util.Optional;
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
 * A new term begins with an empty ledger; the ledger of an earlier one is dropped.
 */
final class LeaseGrantor {

	private final Function<AccountLimits, LimitPart> part;

	private final Clock clock;

	private final DecisionListener decisions;

	private Configuration configuration = Configuration.EMPTY;

	private Term term = Term.ZERO;

	private Optional<LeaseLedger> ledger = Optional.empty();

	LeaseGrantor(Function<AccountLimits, LimitPart> part, Clock clock, DecisionListener decisions) {
		this.part = part;
		this.clock = clock;
		this.decisions = decisions;
	}

	synchronized void configure(Configuration present) {
		Configuration before = this.configuration;
		this.configuration = present;
		this.ledger.ifPresent((grantor) -> change(grantor, before, present, true));
	}

	/**
	 * Takes note of the term under which this instance grants.
	 * @param granting the term, or empty if it is not the grantor
	 */
	synchronized void refresh(Optional<Term> granting) {
		if (granting.isEmpty()) {
			this.ledger = Optional.empty();
		}
		else if (!granting.get().equals(this.term) || this.ledger.isEmpty()) {
			begin(granting.get());
		}
	}

	synchronized CompletionStage<Result<LeaseReply>> answer(LeaseCall call, Optional<Term> granting) {
		refresh(granting);
		if (granting.isEmpty()) {
			return failure(ErrorCode.UNAVAILABLE, "this instance is not the grantor");
		}
		try {
			Optional<LeaseGrant> grant = grant(LeaseCodec.decode(call));
			return grant
				.<CompletionStage<Result<LeaseReply>>>map(
						(given) -> CompletableFuture.completedFuture(Result.success(LeaseCodec.encode(given))))
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

	private void begin(Term next) {
		this.term = next;
		LeaseLedger fresh = LeaseLedger.create(next, LeaseTerms.DEFAULT, this.clock.nanoTime(), this.decisions,
				new Invariants());
		change(fresh, Configuration.EMPTY, this.configuration, false);
		this.ledger = Optional.of(fresh);
	}

	private void change(LeaseLedger target, Configuration before, Configuration after, boolean introducing) {
		for (AccountDescriptor account : before.accounts()) {
			if (after.account(account.id()).isEmpty()) {
				set(target, account.id(), Optional.empty(), false);
			}
		}
		after.accounts()
			.forEach((account) -> set(target, account.id(), Optional.of(this.part.apply(account.limits())),
					introducing && before.account(account.id()).isEmpty()));
	}

	private void set(LeaseLedger target, AccountId account, Optional<LimitPart> share, boolean introduced) {
		target.handle(new LimitsChanged(account, share, introduced), this.clock.nanoTime());
	}

	private static CompletionStage<Result<LeaseReply>> failure(ErrorCode code, String message) {
		return CompletableFuture.completedFuture(Result.failure(OperationError.local(code, Step.ADMIT, message)));
	}

}
