package org.comfreywall.entry.admit;

/**
 * What an admission controller wants done with a queued request.
 */
public sealed interface AdmissionCommand permits StartRequest, ShedRequest {

}
