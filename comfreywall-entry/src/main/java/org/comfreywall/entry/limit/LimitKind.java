package org.comfreywall.entry.limit;

/**
 * What limits a client account.
 */
public enum LimitKind {

	/** Requests a second. */
	REQUESTS,
	/** Prompt and generated tokens a second. */
	TOKENS,
	/** Requests in flight. */
	IN_FLIGHT,
	/** The request alone is charged more tokens than the limit's burst holds. */
	REQUEST_SIZE,
	/** No grantor answers, so that no share can be had. */
	GRANTOR_SILENT,
	/** The client account has no limits configured. */
	NOT_CONFIGURED,
	/** This entry tracks as many client accounts as it can. */
	TOO_MANY_ACCOUNTS

}
