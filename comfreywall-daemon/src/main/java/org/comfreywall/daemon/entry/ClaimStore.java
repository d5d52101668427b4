package org.comfreywall.daemon.entry;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import org.comfreywall.common.claim.ClaimKey;
import org.comfreywall.common.claim.ClaimResult;
import org.comfreywall.common.claim.ClaimRunning;
import org.comfreywall.common.claim.ClaimState;

/**
 * Stores claims on idempotency keys.
 */
interface ClaimStore {

	/**
	 * Claims a key.
	 * @param key the key
	 * @param bodyDigest the SHA-256 digest of the request's body
	 * @param claim the claim to record if the key is free
	 * @return whether the claim was granted; fails if the store cannot be reached
	 */
	Single<ClaimResult> claim(ClaimKey key, String bodyDigest, ClaimRunning claim);

	/**
	 * Records how a claimed request ended.
	 * @param key the key
	 * @param state the final state, owned by the request that holds the claim
	 * @return completes once recorded
	 */
	Completable finish(ClaimKey key, ClaimState state);

	/**
	 * Frees a key whose request is proven not to have run.
	 * @param key the key
	 * @param claim the claim as granted
	 * @return completes once the key is free
	 */
	Completable release(ClaimKey key, ClaimRunning claim);

}
