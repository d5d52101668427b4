package org.comfreywall.entry.retry;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.ServiceId;

/**
 * Identifies the budget of a client account for a service.
 *
 * @param account the client account
 * @param service the service
 */
record BudgetKey(AccountId account, ServiceId service) {

}
