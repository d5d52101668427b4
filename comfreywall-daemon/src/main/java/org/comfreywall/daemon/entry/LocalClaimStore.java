package org.comfreywall.daemon.entry;

import java.util.HashMap;
import java.util.Map;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import org.comfreywall.common.claim.ClaimFound;
import org.comfreywall.common.claim.ClaimGranted;
import org.comfreywall.common.claim.ClaimKey;
import org.comfreywall.common.claim.ClaimMismatch;
import org.comfreywall.common.claim.ClaimResult;
import org.comfreywall.common.claim.ClaimRunning;
import org.comfreywall.common.claim.ClaimState;

/**
 * Keeps claims in the memory of one process.
 */
final class LocalClaimStore implements ClaimStore {

	private final Map<ClaimKey, Entry> entries = new HashMap<>();

	@Override
	public synchronized Single<ClaimResult> claim(ClaimKey key, String bodyDigest, ClaimRunning claim) {
		Entry present = this.entries.putIfAbsent(key, new Entry(bodyDigest, claim));
		if (present == null) {
			return Single.just(new ClaimGranted(claim));
		}
		if (!present.bodyDigest.equals(bodyDigest)) {
			return Single.just(new ClaimMismatch());
		}
		return Single.just(new ClaimFound(present.state));
	}

	@Override
	public synchronized Completable finish(ClaimKey key, ClaimState state) {
		this.entries.computeIfPresent(key, (same, entry) -> entry.withState(state));
		return Completable.complete();
	}

	@Override
	public synchronized Completable release(ClaimKey key, ClaimRunning claim) {
		Entry present = this.entries.get(key);
		if (present != null && present.state.equals(claim)) {
			this.entries.remove(key);
		}
		return Completable.complete();
	}

	/**
	 * A claim with the digest of the body that it covers.
	 */
	private record Entry(String bodyDigest, ClaimState state) {

		Entry withState(ClaimState next) {
			return this.state.owner().equals(next.owner()) ? new Entry(this.bodyDigest, next) : this;
		}

	}

}
