package org.comfreywall.control.ledger;

import org.comfreywall.common.claim.ClaimCompleted;
import org.comfreywall.common.claim.ClaimKey;
import org.comfreywall.common.claim.ClaimState;
import org.comfreywall.common.util.Preconditions;

/**
 * A claim on an idempotency key, as stored in the {@link ClaimLedger} and its snapshots.
 *
 * @param key the claimed key
 * @param bodyDigest the SHA-256 digest of the request's body in lower-case hexadecimal
 * @param state the claim's state
 * @param claimedAt the log time of the claim in nanoseconds
 * @param answerOrder the position of the answer in the order of recording, starting at 1,
 * or 0 if no answer is recorded
 */
public record ClaimEntry(ClaimKey key, String bodyDigest, ClaimState state, long claimedAt, long answerOrder) {

	public ClaimEntry {
		Preconditions.notNull(key, "key");
		Preconditions.notBlank(bodyDigest, "bodyDigest");
		Preconditions.notNull(state, "state");
	}

	ClaimEntry withoutAnswer(ClaimState next) {
		return new ClaimEntry(this.key, this.bodyDigest, next, this.claimedAt, 0);
	}

	ClaimEntry withAnswer(ClaimCompleted completed, long order) {
		return new ClaimEntry(this.key, this.bodyDigest, completed, this.claimedAt, order);
	}

	int bodyLength() {
		return (this.state instanceof ClaimCompleted completed) ? completed.answer().body().length() : 0;
	}

}
