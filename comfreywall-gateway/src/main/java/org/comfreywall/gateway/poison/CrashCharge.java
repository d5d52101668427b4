package org.comfreywall.gateway.poison;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * A request that a backend server ran when it crashed.
 *
 * @param incarnation the incarnation of the server that crashed
 * @param request the request's identifier
 * @param sharedParts the parts of its prompt that other requests may share, in order
 * @param fingerprint the digest that repeats of the request share
 * @param begun whether its response had begun
 * @param at when its connection broke, in nanoseconds of this process's clock
 */
public record CrashCharge(String incarnation, String request, List<String> sharedParts, String fingerprint,
		boolean begun, long at) {

	public CrashCharge {
		Preconditions.notBlank(incarnation, "incarnation");
		Preconditions.notNull(request, "request");
		sharedParts = List.copyOf(Preconditions.notNull(sharedParts, "sharedParts"));
		Preconditions.notBlank(fingerprint, "fingerprint");
	}

	boolean hasTrait(String trait) {
		return this.fingerprint.equals(trait) || this.sharedParts.contains(trait);
	}

}
