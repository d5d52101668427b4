package org.comfreywall.entry.kv;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Decides by expected time whether a backend server imports key-value cache from another
 * or computes it.
 *
 * @param bytesPerToken the size of one token's key-value cache in bytes
 * @param sameDomainBytesPerSecond the transfer rate within a failure domain, in bytes per
 * second
 * @param crossDomainBytesPerSecond the transfer rate between failure domains, in bytes
 * per second
 * @param transferSetup the fixed time of a transfer, independent of its size
 */
public record KvPlanner(long bytesPerToken, double sameDomainBytesPerSecond, double crossDomainBytesPerSecond,
		Duration transferSetup) {

	/** The default costs. */
	public static final KvPlanner DEFAULTS = new KvPlanner(70_000, 2.5e9, 6e8, Duration.ofMillis(5));

	public KvPlanner {
		Preconditions.check(bytesPerToken >= 1, "bytesPerToken must be at least 1: %d", bytesPerToken);
		Preconditions.check(sameDomainBytesPerSecond > 0, "sameDomainBytesPerSecond must be positive: %s",
				sameDomainBytesPerSecond);
		Preconditions.check(crossDomainBytesPerSecond > 0, "crossDomainBytesPerSecond must be positive: %s",
				crossDomainBytesPerSecond);
		Preconditions.check(!transferSetup.isNegative(), "transferSetup must not be negative: %s", transferSetup);
	}

	/**
	 * Chooses the plan with the lower expected time.
	 * @param promptTokens the prompt's tokens
	 * @param cachedTokens the expected number of them in the cache of the server
	 * @param tokensPerSecond the tokens that the server computes per second
	 * @param source the server that holds the most of them and can export cache
	 * @return the plan; recomputing if both take the same time
	 */
	public KvPlan plan(double promptTokens, double cachedTokens, double tokensPerSecond, KvSource source) {
		Preconditions.check(tokensPerSecond > 0, "tokensPerSecond must be positive: %s", tokensPerSecond);
		double missing = Math.max(0, promptTokens - cachedTokens);
		double imported = Math.min(missing, source.cachedTokens() - cachedTokens);
		long recompute = nanos(missing / tokensPerSecond);
		if (imported < 1) {
			return new Recompute(recompute);
		}
		double rate = source.sameDomain() ? this.sameDomainBytesPerSecond : this.crossDomainBytesPerSecond;
		double seconds = imported * this.bytesPerToken / rate + (missing - imported) / tokensPerSecond;
		long transfer = nanos(seconds) + this.transferSetup.toNanos();
		return (transfer < recompute) ? new KvTransfer(source.server(), (long) imported, transfer)
				: new Recompute(recompute);
	}

	private static long nanos(double seconds) {
		return (long) (seconds * 1e9);
	}

}
