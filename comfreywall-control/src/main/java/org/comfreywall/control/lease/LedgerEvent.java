package org.comfreywall.control.lease;

/**
 * What can happen to a lease ledger.
 */
public sealed interface LedgerEvent permits LimitsChanged, LeaseRequested {

}
