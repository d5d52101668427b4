package org.comfreywall.entry.limit;

/**
 * The grantors that an entry asks for shares of limits.
 */
public enum GrantorRole {

	/** Grants nearly all of each limit; there is one for the whole fleet. */
	PRIMARY,
	/** Grants a small fixed part of each limit while the primary grantor is silent. */
	RESERVE

}
