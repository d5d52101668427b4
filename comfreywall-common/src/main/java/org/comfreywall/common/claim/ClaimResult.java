package org.comfreywall.common.claim;

/**
 * The result of an attempt to claim an idempotency key.
 */
public sealed interface ClaimResult permits ClaimGranted, ClaimFound, ClaimMismatch {

}
