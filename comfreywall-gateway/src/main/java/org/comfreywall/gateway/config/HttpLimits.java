package org.comfreywall.gateway.config;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Limits on the connections and requests of callers.
 *
 * @param maxHeaderBytes the maximum size of a request's headers in bytes
 * @param maxBodyBytes the maximum size of a request's body in bytes
 * @param headerTimeout the maximum time in which the headers must arrive
 * @param idleTimeout the maximum time that a connection may be idle
 */
public record HttpLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

	/**
	 * The limits until a configuration is available, equal to the platform's defaults.
	 */
	public static final HttpLimits DEFAULT = new HttpLimits(16 << 10, 4 << 20, Duration.ofSeconds(3),
			Duration.ofSeconds(15));

	public HttpLimits {
		Preconditions.check(maxHeaderBytes >= 1, "maxHeaderBytes must be at least 1: %d", maxHeaderBytes);
		Preconditions.check(maxBodyBytes >= 0, "maxBodyBytes must not be negative: %d", maxBodyBytes);
		Preconditions.notNull(headerTimeout, "headerTimeout");
		Preconditions.notNull(idleTimeout, "idleTimeout");
	}

}
