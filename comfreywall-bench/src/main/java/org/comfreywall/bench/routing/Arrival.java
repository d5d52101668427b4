package org.comfreywall.bench.routing;

import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.entry.prefix.PromptChain;

/**
 * One request of the workload.
 *
 * @param number its number in order of arrival
 * @param at when it arrives, in nanoseconds
 * @param entry the entry instance that it arrives at
 * @param account the client account
 * @param session the session's number
 * @param priority the priority class
 * @param promptTokens the prompt's tokens
 * @param prompt the prompt's blocks
 * @param outputTokens the tokens to generate
 * @param conversation the blocks of prompt and answer
 */
record Arrival(int number, long at, int entry, AccountId account, int session, PriorityClass priority, int promptTokens,
		PromptChain prompt, int outputTokens, PromptChain conversation) {

}
