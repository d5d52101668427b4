package org.comfreywall.entry.admit;

import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * The properties of a request that admission control depends on.
 *
 * @param id the request; must not be queued or running already
 * @param account the client account that sent it
 * @param priority its priority class
 * @param cost its expected work, above zero, in a unit shared by all requests of the
 * service
 * @param deadline the time at which the caller stops waiting, in nanoseconds on the
 * entry's clock
 */
public record AdmissionRequest(RequestId id, AccountId account, PriorityClass priority, double cost, long deadline) {

	public AdmissionRequest {
		Preconditions.notNull(id, "id");
		Preconditions.notNull(account, "account");
		Preconditions.notNull(priority, "priority");
		Preconditions.check(cost > 0, "cost must be above zero: %s", cost);
	}

}
