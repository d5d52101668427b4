package org.comfreywall.gateway.http;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Settings of a gateway that stay fixed while the process runs.
 *
 * @param domain the failure domain that it runs in
 * @param names the names of the headers
 * @param retryRatio the ratio of retries to first attempts that the retry budget of a
 * service allows, over all entries
 * @param retrySlack the retries that the budget allows in addition within a window, over
 * all entries
 * @param retryWindow the sliding window in which attempts and retries are counted
 * @param callers the limits on what all callers may use together
 * @param coldExcess the factor by which the requests to a cold server may exceed the rate
 * that it tolerates, over all entries
 * @param coldSlack the requests that a cold server may get in addition within a second,
 * over all entries
 */
public record GatewaySettings(String domain, HeaderNames names, double retryRatio, double retrySlack,
		Duration retryWindow, CallerLimits callers, double coldExcess, double coldSlack) {

	/** Default of {@code coldExcess}. */
	public static final double DEFAULT_COLD_EXCESS = 1.5;

	/** Default of {@code coldSlack}, in requests. */
	public static final double DEFAULT_COLD_SLACK = 5;

	public GatewaySettings {
		Preconditions.notNull(domain, "domain");
		Preconditions.notNull(names, "names");
		Preconditions.notNull(retryWindow, "retryWindow");
		Preconditions.notNull(callers, "callers");
		Preconditions.check(coldExcess >= 1, "coldExcess must be at least 1: %s", coldExcess);
		Preconditions.check(coldSlack >= 0, "coldSlack must not be negative: %s", coldSlack);
	}

	/**
	 * Creates settings with the default bounds for cold servers and without a limit on
	 * connections.
	 * @param domain the failure domain that the gateway runs in
	 * @param names the names of the headers
	 * @param retryRatio the ratio of retries to first attempts
	 * @param retrySlack the additional retries within a window
	 * @param retryWindow the window in which attempts and retries are counted
	 * @param maxCallerBytes the memory that is held for callers, in bytes
	 */
	public GatewaySettings(String domain, HeaderNames names, double retryRatio, double retrySlack, Duration retryWindow,
			long maxCallerBytes) {
		this(domain, names, retryRatio, retrySlack, retryWindow, new CallerLimits(maxCallerBytes, Integer.MAX_VALUE),
				DEFAULT_COLD_EXCESS, DEFAULT_COLD_SLACK);
	}

}
