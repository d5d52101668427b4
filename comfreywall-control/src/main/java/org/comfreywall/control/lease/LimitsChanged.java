package org.comfreywall.control.lease;

import java.util.Optional;
import java.util.OptionalLong;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.lease.GrantorLimits;
import org.comfreywall.common.util.Preconditions;

/**
 * The limits of a client account were set, changed or removed.
 * <p>
 * A lowered limit takes effect once the leases granted under the old one have expired.
 *
 * @param account the client account
 * @param grantorLimits the part of its limits that this ledger may grant, or empty if the
 * client account was removed
 * @param earlierSlots the maximum number of in-flight slots that earlier grantors may
 * have granted, or empty if unknown: then the whole slot limit counts as granted until
 * the earlier grants have expired. Only used when the ledger adds the client account
 */
public record LimitsChanged(AccountId account, Optional<GrantorLimits> grantorLimits,
		OptionalLong earlierSlots) implements LedgerEvent {

	public LimitsChanged {
		Preconditions.notNull(account, "account");
		Preconditions.notNull(grantorLimits, "grantorLimits");
		Preconditions.notNull(earlierSlots, "earlierSlots");
	}

	/**
	 * Creates the event without a bound on the slots that earlier grantors may have
	 * granted.
	 * @param account the client account
	 * @param grantorLimits the part of its limits that this ledger may grant, or empty if
	 * the client account was removed
	 */
	public LimitsChanged(AccountId account, Optional<GrantorLimits> grantorLimits) {
		this(account, grantorLimits, OptionalLong.empty());
	}

}
