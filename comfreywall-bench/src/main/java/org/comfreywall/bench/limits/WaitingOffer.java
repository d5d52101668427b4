package org.comfreywall.bench.limits;

import org.comfreywall.entry.limit.LimitRequest;

/**
 * A request that waits at an entry for a share of its client account's limits.
 *
 * @param account the index of the client account
 * @param request the request
 * @param until when the wait ends, in nanoseconds on the entry's clock
 * @param runNanos how long it would run
 */
record WaitingOffer(int account, LimitRequest request, long until, long runNanos) {

}
