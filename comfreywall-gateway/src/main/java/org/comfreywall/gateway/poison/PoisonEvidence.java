package org.comfreywall.gateway.poison;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.comfreywall.common.util.Preconditions;

/**
 * What is known about crashes: what one entry tells the others, or what the fleet has
 * stored. Times are in nanoseconds of one clock: that of a process, or the log time.
 *
 * @param charges the requests charged with crashes
 * @param begun for traits that are charged, when a response to a request with that trait
 * last began
 * @param completed the same for when one was last complete
 * @param unconfirmed requests on connections that broke, which are charged if their
 * server turns out to have crashed
 */
public record PoisonEvidence(List<CrashCharge> charges, Map<String, Long> begun, Map<String, Long> completed,
		List<CrashCharge> unconfirmed) {

	/** No evidence. */
	public static final PoisonEvidence NONE = new PoisonEvidence(List.of(), Map.of(), Map.of());

	public PoisonEvidence {
		charges = List.copyOf(Preconditions.notNull(charges, "charges"));
		begun = Map.copyOf(Preconditions.notNull(begun, "begun"));
		completed = Map.copyOf(Preconditions.notNull(completed, "completed"));
		unconfirmed = List.copyOf(Preconditions.notNull(unconfirmed, "unconfirmed"));
	}

	/**
	 * Creates evidence without unconfirmed crashes.
	 * @param charges the requests charged with crashes
	 * @param begun when responses last began, by trait
	 * @param completed when responses were last complete, by trait
	 */
	public PoisonEvidence(List<CrashCharge> charges, Map<String, Long> begun, Map<String, Long> completed) {
		this(charges, begun, completed, List.of());
	}

	/**
	 * Returns the same evidence by another clock.
	 * @param nanos the time of the other clock when this one is 0, in nanoseconds
	 * @return the evidence
	 */
	public PoisonEvidence plus(long nanos) {
		return new PoisonEvidence(plus(this.charges, nanos), plus(this.begun, nanos), plus(this.completed, nanos),
				plus(this.unconfirmed, nanos));
	}

	private static List<CrashCharge> plus(List<CrashCharge> charges, long nanos) {
		return charges.stream().map((charge) -> charge.withTime(charge.at() + nanos)).toList();
	}

	private static Map<String, Long> plus(Map<String, Long> times, long nanos) {
		Map<String, Long> changed = new HashMap<>();
		times.forEach((trait, at) -> changed.put(trait, at + nanos));
		return changed;
	}

	/**
	 * Returns whether there is no evidence.
	 * @return {@code true} if all parts are empty
	 */
	public boolean isEmpty() {
		return this.charges.isEmpty() && this.begun.isEmpty() && this.completed.isEmpty() && this.unconfirmed.isEmpty();
	}

}
