package org.comfreywall.gateway.pool;

/**
 * Admission decision for a request that needs a slot of a backend server.
 */
public sealed interface SlotDecision permits SlotGranted, SlotPending, SlotRefused {

	/**
	 * Returns the request's identifier.
	 * @return the identifier, unique at this entry
	 */
	long request();

}
