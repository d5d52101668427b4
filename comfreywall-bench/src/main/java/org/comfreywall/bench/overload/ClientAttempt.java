package org.comfreywall.bench.overload;

import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.id.AccountId;

/**
 * One attempt of a client to have a request answered.
 *
 * @param number the number of this attempt among all attempts of the run, 0 until it is
 * sent
 * @param account the client account
 * @param priority the priority class
 * @param attemptNumber the number of this attempt among those of the same request, from 1
 * @param firstSentAt the time of the first attempt of the request in nanoseconds
 * @param deadline the time in nanoseconds at which the client gives up this attempt, 0
 * until it is sent
 * @param workNanos the duration of the request on an idle backend server in nanoseconds
 */
record ClientAttempt(long number, AccountId account, PriorityClass priority, int attemptNumber, long firstSentAt,
		long deadline, long workNanos) {

}
