package org.comfreywall.entry.limit;

import java.util.Map;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.lease.AccountDemand;

/**
 * A lease request that has not been answered yet.
 *
 * @param sentAt when it was sent, in nanoseconds on the entry's clock
 * @param demands the demands by client account
 */
record OpenLeaseRequest(long sentAt, Map<AccountId, AccountDemand> demands) {

}
