package org.comfreywall.entry.admit;

import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * What admission needs to know about a request.
 *
 * @param id the request; must not be queued or running already
 * @param account the client account that sent it
 * @param priority its priority class
 * @param cost its expected work, in any unit that is the same for all requests of the
 * service, above zero
 * @param deadline when the caller stops waiting, in nanoseconds on the entry's clock
 */
public record AdmissionRequest(RequestId id, AccountId account, PriorityClass priority, double cost, long deadline) {

	public AdmissionRequest {
		Preconditions.notNull(id, "id");
		Preconditions.notNull(account, "account");
		Preconditions.notNull(priority, "priority");
		Preconditions.check(cost > 0, "cost must be above zero: %s", cost);
	}

}
