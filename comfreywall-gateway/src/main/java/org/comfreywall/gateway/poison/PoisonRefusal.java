package org.comfreywall.gateway.poison;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Refusal of a request that is likely to crash the backend server that runs it.
 *
 * @param trait the part or fingerprint that is charged
 * @param crashes the number of separate crashes that it is charged with
 * @param retryAfter the time until one request with this trait may run again
 */
public record PoisonRefusal(String trait, int crashes, Duration retryAfter) {

	public PoisonRefusal {
		Preconditions.notBlank(trait, "trait");
		Preconditions.notNull(retryAfter, "retryAfter");
	}

}
