package org.comfreywall.entry.admit;

/**
 * A started request that has not ended.
 *
 * @param request the request
 * @param startedAt the time at which it was started, in nanoseconds
 */
record RunningRequest(AdmissionRequest request, long startedAt) {

}
