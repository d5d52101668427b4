package org.comfreywall.control.runtime;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.log.LogSettings;

/**
 * Settings of a {@link ControlNode}.
 *
 * @param log the settings of the replicated log
 * @param queueCapacity the maximum number of queued inputs; further calls are refused,
 * further messages dropped
 * @param maxBatch the maximum number of inputs per batch; the log entries of a batch are
 * written and synced together
 * @param proposalTimeout the time after which a pending proposal or read fails with
 * {@code DEADLINE_EXCEEDED}; its outcome is then unknown
 * @param snapshotInterval the number of entries applied between two snapshots
 */
public record ControlNodeSettings(LogSettings log, int queueCapacity, int maxBatch, Duration proposalTimeout,
		int snapshotInterval) {

	/** The default settings. */
	public static final ControlNodeSettings DEFAULTS = new ControlNodeSettings(LogSettings.DEFAULTS, 65_536, 4_096,
			Duration.ofSeconds(5), 100_000);

	public ControlNodeSettings {
		Preconditions.notNull(log, "log");
		Preconditions.check(queueCapacity >= 1, "the input queue capacity must be at least 1: %d", queueCapacity);
		Preconditions.check(maxBatch >= 1, "the maximum batch size must be at least 1: %d", maxBatch);
		Preconditions.check(!proposalTimeout.isNegative() && !proposalTimeout.isZero(),
				"proposalTimeout must be positive: %s", proposalTimeout);
		Preconditions.check(snapshotInterval >= 1 && snapshotInterval < log.maxLogEntries(),
				"snapshotInterval must be at least 1 and less than the log's maxLogEntries: %d", snapshotInterval);
	}

}
