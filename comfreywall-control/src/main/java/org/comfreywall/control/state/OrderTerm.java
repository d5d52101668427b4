package org.comfreywall.control.state;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * A term issued for orders to engines.
 *
 * @param subject what the orders are about
 * @param holder the instance that gives them
 * @param request identifies the request for the term
 * @param term the term
 */
public record OrderTerm(String subject, InstanceId holder, String request, Term term) {

	public OrderTerm {
		Preconditions.notBlank(subject, "subject");
		Preconditions.notNull(holder, "holder");
		Preconditions.notBlank(request, "request");
		Preconditions.notNull(term, "term");
	}

}
