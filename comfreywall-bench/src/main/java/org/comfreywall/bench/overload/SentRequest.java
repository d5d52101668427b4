package org.comfreywall.bench.overload;

import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.id.AccountId;

/**
 * One sending of a caller's request.
 *
 * @param number numbers all sendings
 * @param account the client account
 * @param priority the priority class
 * @param send the number of this sending of the same request, from 1
 * @param arrivedAt when the request was first sent, in nanoseconds
 * @param deadline when the caller stops waiting for this sending, in nanoseconds
 * @param work the time it takes on an idle backend server, in nanoseconds
 */
record SentRequest(long number, AccountId account, PriorityClass priority, int send, long arrivedAt, long deadline,
		long work) {

}
