package org.comfreywall.control.member;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Settings of the membership core.
 *
 * @param suspicionTimeout the time after which a member that is no longer reported is
 * suspected and probed
 * @param takeoverSuspicionTimeout the time after which a new leader suspects and probes a
 * member that has not been reported to it yet
 * @param probeTimeout the time that the leader waits for probe results before it requests
 * new probes
 * @param reprobeInterval the time after a successful probe until a member that is still
 * not reported is probed again
 * @param publishInterval the minimum interval between publications, except for urgent
 * changes; changes in between are batched
 * @param failedRetention the time after which the record of a failed member is removed
 * @param initialReturnDelay the delay of a member's first return that exceeds the number
 * of immediate returns; doubles with each further return
 * @param maxReturnDelay the maximum delay of a return
 */
public record MembershipSettings(Duration suspicionTimeout, Duration takeoverSuspicionTimeout, Duration probeTimeout,
		Duration reprobeInterval, Duration publishInterval, Duration failedRetention, Duration initialReturnDelay,
		Duration maxReturnDelay) {

	/** The default settings. */
	public static final MembershipSettings DEFAULTS = new MembershipSettings(Duration.ofSeconds(5),
			Duration.ofSeconds(12), Duration.ofMillis(2500), Duration.ofSeconds(5), Duration.ofMillis(200),
			Duration.ofMinutes(10), Duration.ofSeconds(5), Duration.ofSeconds(60));

	public MembershipSettings {
		Preconditions.check(!suspicionTimeout.isNegative(), "suspicionTimeout must not be negative: %s",
				suspicionTimeout);
		Preconditions.check(takeoverSuspicionTimeout.compareTo(suspicionTimeout) >= 0,
				"takeoverSuspicionTimeout must be at least suspicionTimeout: %s", takeoverSuspicionTimeout);
		Preconditions.check(!probeTimeout.isNegative() && !probeTimeout.isZero(), "probeTimeout must be positive: %s",
				probeTimeout);
		Preconditions.notNull(reprobeInterval, "reprobeInterval");
		Preconditions.notNull(publishInterval, "publishInterval");
		Preconditions.notNull(failedRetention, "failedRetention");
		Preconditions.notNull(initialReturnDelay, "initialReturnDelay");
		Preconditions.check(maxReturnDelay.compareTo(initialReturnDelay) >= 0,
				"maxReturnDelay must be at least initialReturnDelay: %s", maxReturnDelay);
	}

}
