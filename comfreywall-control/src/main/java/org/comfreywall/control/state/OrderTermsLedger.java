package org.comfreywall.control.state;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Bytes;

/**
 * Issues the fencing terms of orders to engines.
 * <p>
 * Each subject, such as a group, has one holder at a time that may issue orders. A new
 * holder gets a higher term, so that engines and sidecars refuse orders of the previous
 * holder. At most {@value #MAX_SUBJECTS} subjects are kept.
 */
public final class OrderTermsLedger implements Ledger {

	/** The name of the ledger. */
	public static final String NAME = "order-terms";

	/** Maximum number of subjects. */
	public static final int MAX_SUBJECTS = 50_000;

	private final Map<String, OrderTerm> terms = new TreeMap<>();

	@Override
	public String name() {
		return NAME;
	}

	/**
	 * Issues a new term, or returns the latest one if the request is a resend of the
	 * request that obtained it.
	 * @param subject the subject of the orders
	 * @param holder the instance that will issue the orders
	 * @param request identifies the request
	 * @return the term, or empty if the subject is new and the ledger is full
	 */
	public Optional<OrderTerm> issue(String subject, InstanceId holder, String request) {
		OrderTerm present = this.terms.get(subject);
		if (present != null && present.request().equals(request) && present.holder().equals(holder)) {
			return Optional.of(present);
		}
		if (present == null && this.terms.size() >= MAX_SUBJECTS) {
			return Optional.empty();
		}
		Term term = (present != null) ? present.term().next() : Term.ZERO.next();
		OrderTerm issued = new OrderTerm(subject, holder, request, term);
		this.terms.put(subject, issued);
		return Optional.of(issued);
	}

	/**
	 * Returns the latest term of a subject.
	 * @param subject the subject
	 * @return the term, or empty if none was issued
	 */
	public Optional<OrderTerm> findLatest(String subject) {
		return Optional.ofNullable(this.terms.get(subject));
	}

	@Override
	public Bytes apply(LogTime time, Bytes command) {
		return OrderTermCodec.decodeRequest(command)
			.flatMap((request) -> issue(request.getSubject(), InstanceId.of(request.getHolder()), request.getRequest()))
			.map(OrderTermCodec::encode)
			.orElse(Bytes.EMPTY);
	}

	@Override
	public Bytes query(Bytes query) {
		return findLatest(query.toText()).map(OrderTermCodec::encode).orElse(Bytes.EMPTY);
	}

	@Override
	public Bytes snapshot() {
		return OrderTermCodec.encodeAll(this.terms.values());
	}

	@Override
	public void restore(Bytes snapshot) {
		this.terms.clear();
		OrderTermCodec.decodeAll(snapshot).forEach((term) -> this.terms.put(term.subject(), term));
	}

}
