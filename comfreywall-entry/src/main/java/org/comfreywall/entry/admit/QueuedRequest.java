package org.comfreywall.entry.admit;

/**
 * A queued request.
 *
 * @param request the request
 * @param arrivalNumber its sequence number in the order of arrival
 * @param queuedAt when it was queued, in nanoseconds
 * @param expiresAt the time at which it is shed unless it was started, in nanoseconds
 */
record QueuedRequest(AdmissionRequest request, long arrivalNumber, long queuedAt, long expiresAt) {

}
