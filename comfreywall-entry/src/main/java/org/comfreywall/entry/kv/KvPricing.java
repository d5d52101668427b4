package org.comfreywall.entry.kv;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Prices of moving key-value cache between backend servers.
 *
 * @param bytesPerToken the size of one token's cache in bytes
 * @param sameDomainBytesPerSecond the transfer rate within a failure domain
 * @param crossDomainBytesPerSecond the transfer rate between failure domains
 * @param setup the time that a transfer takes apart from its bytes
 */
public record KvPricing(long bytesPerToken, double sameDomainBytesPerSecond, double crossDomainBytesPerSecond,
		Duration setup) {

	/** The prices used where none are given. */
	public static final KvPricing DEFAULTS = new KvPricing(70_000, 2.5e9, 6e8, Duration.ofMillis(5));

	public KvPricing {
		Preconditions.check(bytesPerToken >= 1, "bytesPerToken must be at least 1: %d", bytesPerToken);
		Preconditions.check(sameDomainBytesPerSecond > 0, "sameDomainBytesPerSecond must be positive: %s",
				sameDomainBytesPerSecond);
		Preconditions.check(crossDomainBytesPerSecond > 0, "crossDomainBytesPerSecond must be positive: %s",
				crossDomainBytesPerSecond);
		Preconditions.check(!setup.isNegative(), "setup must not be negative: %s", setup);
	}

	/**
	 * Decides by price whether a server imports cache or computes it.
	 * @param promptTokens the prompt's tokens
	 * @param cachedTokens the tokens that the server is expected to hold
	 * @param tokensPerSecond the tokens that the server computes a second
	 * @param source the server that holds most and can export
	 * @return the cheaper plan
	 */
	public KvPlan plan(double promptTokens, double cachedTokens, double tokensPerSecond, KvSource source) {
		Preconditions.check(tokensPerSecond > 0, "tokensPerSecond must be positive: %s", tokensPerSecond);
		double missing = Math.max(0, promptTokens - cachedTokens);
		double moved = Math.min(missing, source.cachedTokens() - cachedTokens);
		long recompute = nanos(missing / tokensPerSecond);
		if (moved < 1) {
			return new Recompute(recompute);
		}
		double rate = source.sameDomain() ? this.sameDomainBytesPerSecond : this.crossDomainBytesPerSecond;
		double seconds = moved * this.bytesPerToken / rate + (missing - moved) / tokensPerSecond;
		long move = nanos(seconds) + this.setup.toNanos();
		return (move < recompute) ? new Move(source.server(), (long) moved, move) : new Recompute(recompute);
	}

	private static long nanos(double seconds) {
		return (long) (seconds * 1e9);
	}

}
