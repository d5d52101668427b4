package org.comfreywall.entry.admit;

/**
 * A request that was started and has not ended.
 *
 * @param request the request
 * @param startedAt when it was started, in nanoseconds
 */
record RunningRequest(AdmissionRequest request, long startedAt) {

}
