package org.comfreywall.entry.limit;

import java.util.Map;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.lease.AccountDemand;

/**
 * An ask that has not been answered.
 *
 * @param sentAt when it was sent, in nanoseconds on the entry's clock
 * @param demands its demands by client account
 */
record OpenAsk(long sentAt, Map<AccountId, AccountDemand> demands) {

}
