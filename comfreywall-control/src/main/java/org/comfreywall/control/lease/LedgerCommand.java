package org.comfreywall.control.lease;

/**
 * What a lease ledger wants done.
 */
public sealed interface LedgerCommand permits SendGrant {

}
