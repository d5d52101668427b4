package org.comfreywall.control.member;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Settings of the membership core.
 *
 * @param grace the time after which a member that is no longer reported is suspected and
 * probed
 * @param takeoverGrace the time after which a new leader suspects and probes a member
 * that has not been reported to it yet
 * @param probeTimeout the time that the leader waits for probe results before it requests
 * new probes
 * @param reprobeInterval the time after a successful probe until a member that is still
 * not reported is probed again
 * @param publishInterval the minimum interval between publications, except for urgent
 * changes; changes in between are batched
 * @param keepFailed the time after which the record of a failed member is removed
 * @param damping the delay of a member's first return that exceeds the number of
 * immediate returns; doubles with each further return
 * @param maxDamping the maximum delay of a return
 */
public record MembershipSettings(Duration grace, Duration takeoverGrace, Duration probeTimeout,
		Duration reprobeInterval, Duration publishInterval, Duration keepFailed, Duration damping,
		Duration maxDamping) {

	/** The default settings. */
	public static final MembershipSettings DEFAULTS = new MembershipSettings(Duration.ofSeconds(5),
			Duration.ofSeconds(12), Duration.ofMillis(2500), Duration.ofSeconds(5), Duration.ofMillis(200),
			Duration.ofMinutes(10), Duration.ofSeconds(5), Duration.ofSeconds(60));

	public MembershipSettings {
		Preconditions.check(!grace.isNegative(), "suspicionTimeout must not be negative: %s", grace);
		Preconditions.check(takeoverGrace.compareTo(grace) >= 0,
				"takeoverSuspicionTimeout must be at least suspicionTimeout: %s", takeoverGrace);
		Preconditions.check(!probeTimeout.isNegative() && !probeTimeout.isZero(), "probeTimeout must be positive: %s",
				probeTimeout);
		Preconditions.notNull(reprobeInterval, "reprobeInterval");
		Preconditions.notNull(publishInterval, "publishInterval");
		Preconditions.notNull(keepFailed, "failedRetention");
		Preconditions.notNull(damping, "initialReturnDelay");
		Preconditions.check(maxDamping.compareTo(damping) >= 0,
				"maxReturnDelay must be at least initialReturnDelay: %s", maxDamping);
	}

}
