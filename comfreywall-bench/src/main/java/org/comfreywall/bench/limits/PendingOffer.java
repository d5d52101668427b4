package org.comfreywall.bench.limits;

import org.comfreywall.entry.limit.LimitRequest;

/**
 * A request that waits at an entry instance for a lease on the limits of its client
 * account.
 *
 * @param account the index of the client account
 * @param request the request
 * @param until the time at which the wait ends, in nanoseconds on the clock of the entry
 * instance
 * @param runNanos the time in nanoseconds that the request runs once it is admitted
 */
record PendingOffer(int account, LimitRequest request, long until, long runNanos) {

}
