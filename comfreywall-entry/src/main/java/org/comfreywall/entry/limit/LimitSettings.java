package org.comfreywall.entry.limit;

import java.time.Duration;

import org.comfreywall.common.lease.LeaseTerms;
import org.comfreywall.common.lease.LimitDivision;
import org.comfreywall.common.util.Preconditions;

/**
 * Settings of a {@link LimitEnforcer}.
 *
 * @param terms the durations agreed with the grantors
 * @param division the division of each limit between the grantors
 * @param patience how long a request waits for a share while the grants of its client
 * account meet the demand
 * @param urgentGap the minimum time between two lease requests while requests wait
 */
public record LimitSettings(LeaseTerms terms, LimitDivision division, Duration patience, Duration urgentGap) {

	/** The default settings. */
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
