package org.comfreywall.entry.admit;

/**
 * The request may start at once; its end must be reported.
 */
public record Admitted() implements AdmissionDecision {

}
