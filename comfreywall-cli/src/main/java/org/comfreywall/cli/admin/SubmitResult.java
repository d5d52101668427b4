package org.comfreywall.cli.admin;

/**
 * Outcome of a submitted change that the daemon has processed.
 */
public sealed interface SubmitResult permits SubmitAccepted, SubmitConflict {

}
