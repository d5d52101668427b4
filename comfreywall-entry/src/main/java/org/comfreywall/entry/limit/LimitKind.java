package org.comfreywall.entry.limit;

/**
 * The reasons for which a request exceeds the limits of its client account.
 */
public enum LimitKind {

	/** Requests per second. */
	REQUESTS,
	/** Prompt and generated tokens per second. */
	TOKENS,
	/** Requests in flight. */
	IN_FLIGHT,
	/** The request alone is charged more tokens than the burst of the limit allows. */
	REQUEST_SIZE,
	/** The primary grantor does not respond, and no share is available. */
	GRANTOR_SILENT,
	/** The client account has no limits configured. */
	NOT_CONFIGURED,
	/** This entry already tracks its maximum number of client accounts. */
	TOO_MANY_ACCOUNTS

}
