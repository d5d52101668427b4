package org.comfreywall.common.claim;

/**
 * The result of asking for a claim.
 */
public sealed interface ClaimResult permits ClaimGranted, ClaimFound, ClaimMismatch {

}
