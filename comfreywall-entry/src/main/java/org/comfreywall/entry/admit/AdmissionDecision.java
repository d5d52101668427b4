package org.comfreywall.entry.admit;

/**
 * The decision on a request that arrived.
 */
public sealed interface AdmissionDecision permits Admitted, Queued, Refused {

}
