package org.comfreywall.control.lease;

/**
 * An input of {@link LeaseLedger}.
 */
public sealed interface LedgerEvent permits LimitsChanged, LeaseRequested {

}
