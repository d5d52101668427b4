package org.comfreywall.control.state;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * A fencing term under which one instance may issue the orders of a subject.
 *
 * @param subject the subject of the orders, such as a group
 * @param holder the instance that may issue the orders
 * @param request identifies the request that obtained the term
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
