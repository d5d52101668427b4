package org.comfreywall.control.runtime;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.log.LogSettings;

/**
 * Settings of a control node.
 *
 * @param log the settings of the replicated log
 * @param ringCapacity the greatest number of waiting inputs; more are refused or dropped
 * @param maxGroup the greatest number of inputs handled before what they lead to is
 * written and synced as one group
 * @param proposalTimeout how long a proposal or read may take; afterwards its outcome is
 * unknown
 * @param snapshotInterval the number of entries after which a snapshot is taken
 */
public record ControlNodeSettings(LogSettings log, int ringCapacity, int maxGroup, Duration proposalTimeout,
		int snapshotInterval) {

	/** The settings used unless an operator sets others. */
	public static final ControlNodeSettings DEFAULTS = new ControlNodeSettings(LogSettings.DEFAULTS, 65_536, 4_096,
			Duration.ofSeconds(5), 100_000);

	public ControlNodeSettings {
		Preconditions.notNull(log, "log");
		Preconditions.check(ringCapacity >= 1, "ringCapacity must be at least 1: %d", ringCapacity);
		Preconditions.check(maxGroup >= 1, "maxGroup must be at least 1: %d", maxGroup);
		Preconditions.check(!proposalTimeout.isNegative() && !proposalTimeout.isZero(),
				"proposalTimeout must be positive: %s", proposalTimeout);
		Preconditions.check(snapshotInterval >= 1 && snapshotInterval < log.maxLogEntries(),
				"snapshotInterval must be at least 1 and less than the log's maxLogEntries: %d", snapshotInterval);
	}

}
