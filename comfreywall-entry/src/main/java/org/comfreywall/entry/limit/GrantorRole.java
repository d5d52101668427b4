package org.comfreywall.entry.limit;

/**
 * The grantors that lease shares of limits to an entry.
 */
public enum GrantorRole {

	/**
	 * The only primary grantor of the fleet, which leases out nearly all of each limit.
	 */
	PRIMARY,
	/**
	 * Leases out a small fixed part of each limit while the primary grantor does not
	 * respond.
	 */
	RESERVE

}
