package org.comfreywall.gateway.poison;

import java.util.List;
import java.util.Map;

import org.comfreywall.common.util.Preconditions;

/**
 * What one entry knows about crashes and tells the others.
 *
 * @param charges the requests charged with crashes
 * @param begun for traits that are charged, when a response to a request with that trait
 * last began, in nanoseconds of this process's clock
 * @param completed the same for when one was last complete
 */
public record PoisonEvidence(List<CrashCharge> charges, Map<String, Long> begun, Map<String, Long> completed) {

	/** No evidence. */
	public static final PoisonEvidence NONE = new PoisonEvidence(List.of(), Map.of(), Map.of());

	public PoisonEvidence {
		charges = List.copyOf(Preconditions.notNull(charges, "charges"));
		begun = Map.copyOf(Preconditions.notNull(begun, "begun"));
		completed = Map.copyOf(Preconditions.notNull(completed, "completed"));
	}

}
