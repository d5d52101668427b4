package org.comfreywall.group.mapswitch;

/**
 * The durable end of one attempt to switch the map; it is never undone.
 */
public sealed interface SwitchDecision permits CommitDecision, AbortDecision {

	/**
	 * Returns the attempt that was decided.
	 * @return the attempt
	 */
	SwitchId id();

}
