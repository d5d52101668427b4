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
 * @param introduced whether the client account came into the configuration during this
 * term, so that no earlier grantor can have granted shares of it
 */
public record LimitsChanged(AccountId account, Optional<LimitPart> part, boolean introduced) implements LedgerEvent {

	public LimitsChanged {
		Preconditions.notNull(account, "account");
		Preconditions.notNull(part, "part");
	}

	/**
	 * Creates the event for a client account that an earlier grantor may have known.
	 * @param account the client account
	 * @param part the part of its limits to grant, or empty if it is removed
	 */
	public LimitsChanged(AccountId account, Optional<LimitPart> part) {
		this(account, part, false);
	}

}
