package org.comfreywall.control.lease;

/**
 * The amounts of one client account's limits that a grantor can divide between holders.
 *
 * @param requests requests that can be granted between two lease requests of a holder
 * @param tokens tokens that can be granted between two lease requests of a holder
 * @param requestsNow requests that can be granted immediately
 * @param tokensNow tokens that can be granted immediately
 * @param slots the total number of in-flight slots
 */
record DivisionInput(double requests, double tokens, double requestsNow, double tokensNow, long slots) {

}
