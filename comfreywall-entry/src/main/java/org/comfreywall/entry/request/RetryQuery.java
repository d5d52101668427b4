package org.comfreywall.entry.request;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.util.Preconditions;

/**
 * A request that may be retried, as input of a {@link RetryPolicy}.
 *
 * @param request the request
 * @param account the client account
 * @param service the service
 * @param attempts the number of attempts sent so far
 * @param cause the failure that the retry would follow
 * @param remainingNanos the time until the caller's deadline, in nanoseconds
 */
public record RetryQuery(RequestId request, AccountId account, ServiceId service, int attempts, RetryCause cause,
		long remainingNanos) {

	public RetryQuery {
		Preconditions.notNull(request, "request");
		Preconditions.notNull(account, "account");
		Preconditions.notNull(service, "service");
		Preconditions.notNull(cause, "cause");
	}

}
