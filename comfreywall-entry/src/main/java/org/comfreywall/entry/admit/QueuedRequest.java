package org.comfreywall.entry.admit;

/**
 * A queued request.
 *
 * @param request the request
 * @param number its sequence number in the order of arrival
 * @param queuedAt when it was queued, in nanoseconds
 * @param until the time at which it is shed unless it was started, in nanoseconds
 */
record QueuedRequest(AdmissionRequest request, long number, long queuedAt, long until) {

}
