package org.comfreywall.control.lease;

/**
 * An output of {@link LeaseLedger}, which the caller executes.
 */
public sealed interface LedgerCommand permits SendGrant {

}
