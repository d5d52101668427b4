package org.comfreywall.control.lease;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.lease.LeaseTerms;

/**
 * The settings and listeners shared by all client accounts of one ledger.
 *
 * @param term the grantor's term
 * @param terms the durations agreed with the holders
 * @param ratesFrom when rates may be granted, in nanoseconds on the grantor's clock: the
 * grants of earlier terms have expired by then
 * @param slotsFrom when slots that no holder reported may be granted, in nanoseconds on
 * the grantor's clock
 * @param longestRequestNanos the longest duration of a request, in nanoseconds on the
 * grantor's clock
 * @param listener receives a record of each grant below the demand
 * @param invariants checks the invariants
 */
record LedgerContext(Term term, LeaseTerms terms, long ratesFrom, long slotsFrom, long longestRequestNanos,
		DecisionListener listener, Invariants invariants) {

	static LedgerContext startingAt(Term term, LeaseTerms terms, long now, DecisionListener listener,
			Invariants invariants) {
		long longest = terms.grantorWaitNanos(terms.longestRequest());
		long ratesFrom = now + terms.grantorWaitNanos(terms.rateTerm());
		long slotsFrom = now + terms.grantorWaitNanos(terms.slotTerm()) + longest;
		return new LedgerContext(term, terms, ratesFrom, slotsFrom, longest, listener, invariants);
	}

	LedgerContext withoutEarlierGrants(long now) {
		return new LedgerContext(this.term, this.terms, now, now, this.longestRequestNanos, this.listener,
				this.invariants);
	}

}
