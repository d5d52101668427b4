package org.comfreywall.entry.admit;

/**
 * The request may start at once; the driver must report its end.
 */
public record Admitted() implements AdmissionDecision {

}
