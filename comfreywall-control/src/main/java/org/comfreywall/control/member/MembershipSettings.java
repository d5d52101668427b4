package org.comfreywall.control.member;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Settings of the membership core.
 *
 * @param grace how long a member may be unheard before others are asked about it
 * @param takeoverGrace how long a new leader waits for members to be reported
 * @param probeTimeout how long the leader waits for the answers of probes
 * @param reprobeInterval how long a member that answered a probe is left alone
 * @param publishInterval how long joins and failures are gathered before they are
 * published
 * @param keepFailed how long a failed member is kept on record
 * @param damping how long the first return after too many is held back; doubles with each
 * @param maxDamping how long a return is held back at most
 */
public record MembershipSettings(Duration grace, Duration takeoverGrace, Duration probeTimeout,
		Duration reprobeInterval, Duration publishInterval, Duration keepFailed, Duration damping,
		Duration maxDamping) {

	/** The settings used when none are given. */
	public static final MembershipSettings DEFAULTS = new MembershipSettings(Duration.ofSeconds(5),
			Duration.ofSeconds(12), Duration.ofMillis(2500), Duration.ofSeconds(5), Duration.ofMillis(200),
			Duration.ofMinutes(10), Duration.ofSeconds(5), Duration.ofSeconds(60));

	public MembershipSettings {
		Preconditions.check(!grace.isNegative(), "grace must not be negative: %s", grace);
		Preconditions.check(takeoverGrace.compareTo(grace) >= 0, "takeoverGrace must be at least grace: %s",
				takeoverGrace);
		Preconditions.check(!probeTimeout.isNegative() && !probeTimeout.isZero(), "probeTimeout must be positive: %s",
				probeTimeout);
		Preconditions.notNull(reprobeInterval, "reprobeInterval");
		Preconditions.notNull(publishInterval, "publishInterval");
		Preconditions.notNull(keepFailed, "keepFailed");
		Preconditions.notNull(damping, "damping");
		Preconditions.check(maxDamping.compareTo(damping) >= 0, "maxDamping must be at least damping: %s", maxDamping);
	}

}
