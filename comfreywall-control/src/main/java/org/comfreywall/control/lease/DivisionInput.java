package org.comfreywall.control.lease;

/**
 * What one grantor has to divide for one client account.
 *
 * @param requests requests that can be granted within one ask interval
 * @param tokens tokens that can be granted within one ask interval
 * @param requestsNow requests that can be granted at once
 * @param tokensNow tokens that can be granted at once
 * @param slots in-flight slots in all
 */
record DivisionInput(double requests, double tokens, double requestsNow, double tokensNow, long slots) {

}
