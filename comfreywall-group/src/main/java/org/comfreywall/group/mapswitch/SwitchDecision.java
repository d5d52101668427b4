package org.comfreywall.group.mapswitch;

/**
 * The durable and final decision of one attempt to switch the map.
 */
public sealed interface SwitchDecision permits CommitDecision, AbortDecision {

	/**
	 * Returns the decided attempt.
	 * @return the attempt
	 */
	SwitchId id();

}
