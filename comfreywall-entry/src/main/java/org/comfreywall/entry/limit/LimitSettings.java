package org.comfreywall.entry.limit;

import java.time.Duration;

import org.comfreywall.common.lease.LeaseTerms;
import org.comfreywall.common.lease.LimitDivision;
import org.comfreywall.common.util.Preconditions;

/**
 * Settings of a limit enforcer.
 *
 * @param terms the durations agreed with the grantors
 * @param division the division of each limit between the grantors
 * @param patience how long a request waits for the first share of its client account
 * @param urgentGap the shortest time between two asks while requests wait
 */
public record LimitSettings(LeaseTerms terms, LimitDivision division, Duration patience, Duration urgentGap) {

	/** The settings used unless others are given. */
	public static final LimitSettings DEFAULT = new LimitSettings(LeaseTerms.DEFAULT, new LimitDivision(0.04, 1),
			Duration.ofMillis(250), Duration.ofMillis(25));

	public LimitSettings {
		Preconditions.notNull(terms, "terms");
		Preconditions.notNull(division, "division");
		Preconditions.notNull(patience, "patience");
		Preconditions.notNull(urgentGap, "urgentGap");
		Preconditions.check(!patience.isNegative(), "patience must not be negative: %s", patience);
		Preconditions.check(!urgentGap.isNegative(), "urgentGap must not be negative: %s", urgentGap);
	}

}
