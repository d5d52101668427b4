package org.comfreywall.entry.admit;

/**
 * The decision on a new request.
 */
public sealed interface AdmissionDecision permits Admitted, Queued, Refused {

}
