package org.comfreywall.common.claim;

/**
 * The key was claimed before with another request body.
 */
public record ClaimMismatch() implements ClaimResult {

}
