package org.comfreywall.cli.admin;

/**
 * What became of a submitted change.
 */
public sealed interface SubmitResult permits SubmitAccepted, SubmitConflict {

}
