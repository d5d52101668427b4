package org.comfreywall.entry.admit;

/**
 * A command for a queued request that an admission controller returns to its driver.
 */
public sealed interface AdmissionCommand permits StartRequest, ShedRequest {

}
