package org.comfreywall.entry.limit;

/**
 * The unspent requests and tokens of one grant.
 *
 * @param requests the requests left
 * @param tokens the tokens left
 * @param expiresAt when they expire, in nanoseconds on the entry's clock
 */
record SpendableAmount(long requests, long tokens, long expiresAt) {

	SpendableAmount minus(long requests, long tokens) {
		return new SpendableAmount(this.requests - requests, this.tokens - tokens, this.expiresAt);
	}

	boolean isEmpty() {
		return this.requests == 0 && this.tokens == 0;
	}

}
