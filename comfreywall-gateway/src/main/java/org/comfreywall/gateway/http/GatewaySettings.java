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
 * @param maxBodyBytes the bytes that the bodies of all requests in hand may take
 * together, at least 1
 */
public record GatewaySettings(String domain, HeaderNames names, double retryRatio, double retrySlack,
		Duration retryWindow, long maxBodyBytes) {

	public GatewaySettings {
		Preconditions.notNull(domain, "domain");
		Preconditions.notNull(names, "names");
		Preconditions.notNull(retryWindow, "retryWindow");
		Preconditions.check(maxBodyBytes >= 1, "maxBodyBytes must be at least 1: %d", maxBodyBytes);
	}

}
