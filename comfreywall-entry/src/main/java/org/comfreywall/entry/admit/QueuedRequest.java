package org.comfreywall.entry.admit;

/**
 * A request in queue.
 *
 * @param request the request
 * @param number its number in the order of arrival
 * @param queuedAt when it was queued, in nanoseconds
 * @param until when it is shed at the latest, in nanoseconds
 */
record QueuedRequest(AdmissionRequest request, long number, long queuedAt, long until) {

}
