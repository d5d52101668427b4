package org.comfreywall.common.claim;

/**
 * The idempotency key is already claimed for a request with a different body.
 */
public record ClaimMismatch() implements ClaimResult {

}
