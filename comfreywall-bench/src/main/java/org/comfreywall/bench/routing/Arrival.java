package org.comfreywall.bench.routing;

import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.entry.prefix.PromptChain;

/**
 * One request of the workload.
 *
 * @param number the position in order of arrival, from 0
 * @param arrivalNanos the time of arrival in nanoseconds
 * @param entry the index of the entry instance that receives the request
 * @param account the client account
 * @param session the number of the session
 * @param priority the priority class
 * @param promptTokens the number of tokens in the prompt
 * @param prompt the blocks of the prompt
 * @param outputTokens the number of tokens to generate
 * @param conversation the blocks of the prompt and its answer
 */
record Arrival(int number, long arrivalNanos, int entry, AccountId account, int session, PriorityClass priority,
		int promptTokens, PromptChain prompt, int outputTokens, PromptChain conversation) {

}
