package org.comfreywall.control.lease;

import java.util.Optional;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.lease.LimitPart;
import org.comfreywall.common.util.Preconditions;

/**
 * The limits of a client account were set, changed or removed.
 * <p>
 * A lowered limit holds once the leases given out under the old one have ended.
 *
 * @param account the client account
 * @param part the part of its limits this ledger may give out, or empty if the client
 * account is gone
 */
public record LimitsChanged(AccountId account, Optional<LimitPart> part) implements LedgerEvent {

	public LimitsChanged {
		Preconditions.notNull(account, "account");
		Preconditions.notNull(part, "part");
	}

}
