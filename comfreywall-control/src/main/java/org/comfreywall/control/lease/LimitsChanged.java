package org.comfreywall.control.lease;

import java.util.Optional;
import java.util.OptionalLong;

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
 * @param earlierSlots the most in-flight slots that earlier grantors may have granted, or
 * empty if unknown; counts when the client account becomes known to the ledger
 */
public record LimitsChanged(AccountId account, Optional<LimitPart> part,
		OptionalLong earlierSlots) implements LedgerEvent {

	public LimitsChanged {
		Preconditions.notNull(account, "account");
		Preconditions.notNull(part, "part");
		Preconditions.notNull(earlierSlots, "earlierSlots");
	}

	/**
	 * Creates the event for a client account that an earlier grantor may have known.
	 * @param account the client account
	 * @param part the part of its limits to grant, or empty if it is removed
	 */
	public LimitsChanged(AccountId account, Optional<LimitPart> part) {
		this(account, part, OptionalLong.empty());
	}

}
