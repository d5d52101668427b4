package org.comfreywall.gateway.config;

/**
 * Determines whether a request may be retried after a failed attempt.
 */
public enum RequestKind {

	/** May safely run more than once. */
	IDEMPOTENT,
	/** Runs at most once. */
	NON_IDEMPOTENT,
	/** An event stream that runs at most once. */
	STREAM,
	/** An event stream that another backend server can resume after a given event. */
	RESUMABLE_STREAM;

	/**
	 * Returns whether a request that may have run can be sent again.
	 * @return {@code true} for idempotent requests and resumable streams
	 */
	public boolean isRetryable() {
		return this == IDEMPOTENT || this == RESUMABLE_STREAM;
	}

	/**
	 * Returns whether the response is an event stream.
	 * @return {@code true} for both kinds of stream
	 */
	public boolean isStream() {
		return this == STREAM || this == RESUMABLE_STREAM;
	}

}
