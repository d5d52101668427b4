package org.comfreywall.control.ledger;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.comfreywall.common.claim.ClaimCompleted;
import org.comfreywall.common.claim.ClaimFound;
import org.comfreywall.common.claim.ClaimGranted;
import org.comfreywall.common.claim.ClaimKey;
import org.comfreywall.common.claim.ClaimMismatch;
import org.comfreywall.common.claim.ClaimResult;
import org.comfreywall.common.claim.ClaimRunning;
import org.comfreywall.common.claim.ClaimState;
import org.comfreywall.common.claim.ClaimUnknown;
import org.comfreywall.common.claim.NotRunProof;
import org.comfreywall.common.claim.RecordedAnswer;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Preconditions;

/**
 * Stores the claims on idempotency keys and the outcomes of the claimed requests.
 * <p>
 * The ledger is deterministic: replicas that apply the same calls with the same log times
 * store the same claims. Calls are idempotent, with one exception: a duplicate of
 * {@link #claim} that arrives after the release of the claim creates the claim again. Its
 * attempt is sealed or was never sent, so the claim can be released again with proof. Not
 * thread-safe.
 */
public final class ClaimLedger {

	private final ClaimLedgerSettings settings;

	/** Claims in the order of their log time, at most {@code settings.capacity()}. */
	private final Map<ClaimKey, ClaimEntry> claims = new LinkedHashMap<>();

	/** Keys of the claims with a recorded answer, by {@link ClaimEntry#answerOrder}. */
	private final TreeMap<Long, ClaimKey> answersByOrder = new TreeMap<>();

	private long storedAnswerBytes;

	private long logTime;

	/**
	 * Creates an empty ledger.
	 * @param settings the limits
	 */
	public ClaimLedger(ClaimLedgerSettings settings) {
		this.settings = Preconditions.notNull(settings, "settings");
	}

	/**
	 * Claims a key for the only attempt of a request.
	 * @param key the key
	 * @param bodyDigest the SHA-256 digest of the request's body in lower-case
	 * hexadecimal
	 * @param owner the request that claims the key
	 * @param backendServer the backend server to which the attempt will be sent
	 * @param incarnation the incarnation of the sidecar to which the attempt will be sent
	 * @param now the log time in nanoseconds
	 * @return the result, or {@link ErrorCode#OVERLOADED} if the ledger is full
	 */
	public Result<ClaimResult> claim(ClaimKey key, String bodyDigest, RequestId owner, BackendServerId backendServer,
			Incarnation incarnation, long now) {
		Preconditions.notNull(key, "key");
		ClaimRunning claim = new ClaimRunning(owner, backendServer, incarnation);
		advanceTime(now);
		ClaimEntry earlier = this.claims.get(key);
		if (earlier != null) {
			return Result.success(resultForExisting(earlier, bodyDigest, claim));
		}
		if (this.claims.size() >= this.settings.capacity()) {
			return failure(ErrorCode.OVERLOADED, "The claim ledger is full; send the request again later");
		}
		this.claims.put(key, new ClaimEntry(key, bodyDigest, claim, this.logTime, 0));
		return Result.success(new ClaimGranted(claim));
	}

	/**
	 * Records the answer of a claimed request.
	 * <p>
	 * An answer whose body exceeds {@link ClaimLedgerSettings#maxAnswerBytes()} is not
	 * stored; the outcome of the claimed request is then unknown to later callers.
	 * @param key the claimed key
	 * @param owner the request that held the claim
	 * @param answer the complete answer
	 * @param now the log time in nanoseconds
	 * @return the claim's state after the call, or the error with which the call was
	 * rejected
	 */
	public Result<ClaimState> recordAnswer(ClaimKey key, RequestId owner, RecordedAnswer answer, long now) {
		Preconditions.notNull(answer, "answer");
		advanceTime(now);
		return findOwned(key, owner).map((entry) -> recordAnswer(entry, answer));
	}

	/**
	 * Marks the outcome of a claimed request as unknown, unless an answer is recorded.
	 * @param key the claimed key
	 * @param owner the request that held the claim
	 * @param now the log time in nanoseconds
	 * @return the claim's state after the call, or the error with which the call was
	 * rejected
	 */
	public Result<ClaimState> markUnknown(ClaimKey key, RequestId owner, long now) {
		advanceTime(now);
		return findOwned(key, owner).map((entry) -> {
			if (entry.state() instanceof ClaimCompleted) {
				return entry.state();
			}
			return replaceState(entry, new ClaimUnknown(owner));
		});
	}

	/**
	 * Removes a claim whose request is proven not to have run.
	 * @param key the claimed key
	 * @param proof the proof
	 * @param now the log time in nanoseconds
	 * @return the claim that was released, or the error with which the call was rejected
	 */
	public Result<ClaimRunning> release(ClaimKey key, NotRunProof proof, long now) {
		Preconditions.notNull(proof, "proof");
		advanceTime(now);
		return findOwned(key, proof.owner()).flatMap((entry) -> {
			if (entry.state() instanceof ClaimRunning claim && proof.appliesTo(claim)) {
				this.claims.remove(key);
				return Result.success(claim);
			}
			return failure(ErrorCode.CONFLICT, "The proof does not cover the claim's attempt; query the claim again");
		});
	}

	/**
	 * Returns the state of a claim.
	 * @param key the key
	 * @return the state, or empty if the key is not claimed
	 */
	public Optional<ClaimState> find(ClaimKey key) {
		return Optional.ofNullable(this.claims.get(key)).map(ClaimEntry::state);
	}

	/**
	 * Returns the number of claims in the ledger.
	 * @return the count
	 */
	public int size() {
		return this.claims.size();
	}

	/**
	 * Returns a copy of the whole state.
	 * @return the snapshot
	 */
	public ClaimLedgerSnapshot snapshot() {
		return new ClaimLedgerSnapshot(this.logTime, List.copyOf(this.claims.values()));
	}

	/**
	 * Replaces the whole state with that of a snapshot.
	 * @param snapshot the snapshot
	 */
	public void restore(ClaimLedgerSnapshot snapshot) {
		this.claims.clear();
		this.answersByOrder.clear();
		this.storedAnswerBytes = 0;
		this.logTime = snapshot.logTime();
		for (ClaimEntry entry : snapshot.entries()) {
			this.claims.put(entry.key(), entry);
			this.storedAnswerBytes += entry.bodyLength();
			if (entry.answerOrder() > 0) {
				this.answersByOrder.put(entry.answerOrder(), entry.key());
			}
		}
	}

	private ClaimResult resultForExisting(ClaimEntry earlier, String bodyDigest, ClaimRunning claim) {
		if (!earlier.bodyDigest().equals(bodyDigest)) {
			return new ClaimMismatch();
		}
		if (earlier.state().equals(claim)) {
			return new ClaimGranted(claim);
		}
		return new ClaimFound(earlier.state());
	}

	private ClaimState recordAnswer(ClaimEntry entry, RecordedAnswer answer) {
		if (entry.state() instanceof ClaimCompleted) {
			return entry.state();
		}
		if (answer.body().length() > this.settings.maxAnswerBytes()) {
			return replaceState(entry, new ClaimUnknown(entry.state().owner()));
		}
		ClaimCompleted completed = new ClaimCompleted(entry.state().owner(), answer);
		long order = this.answersByOrder.isEmpty() ? 1 : this.answersByOrder.lastKey() + 1;
		this.claims.put(entry.key(), entry.withAnswer(completed, order));
		this.answersByOrder.put(order, entry.key());
		this.storedAnswerBytes += answer.body().length();
		evictAnswers();
		return completed;
	}

	private void evictAnswers() {
		while (this.storedAnswerBytes > this.settings.maxStoredBytes()) {
			ClaimEntry evicted = this.claims.get(this.answersByOrder.firstEntry().getValue());
			replaceState(evicted, new ClaimUnknown(evicted.state().owner()));
		}
	}

	private ClaimState replaceState(ClaimEntry entry, ClaimState state) {
		removeAnswer(entry);
		this.claims.put(entry.key(), entry.withoutAnswer(state));
		return state;
	}

	private void removeAnswer(ClaimEntry entry) {
		this.answersByOrder.remove(entry.answerOrder());
		this.storedAnswerBytes -= entry.bodyLength();
	}

	private Result<ClaimEntry> findOwned(ClaimKey key, RequestId owner) {
		ClaimEntry entry = this.claims.get(Preconditions.notNull(key, "key"));
		if (entry == null) {
			return failure(ErrorCode.NOT_FOUND, "The key is not claimed; the claim was released or has expired");
		}
		if (!entry.state().owner().equals(owner)) {
			return failure(ErrorCode.CONFLICT, "The key is claimed by another request");
		}
		return Result.success(entry);
	}

	private void advanceTime(long now) {
		this.logTime = Math.max(this.logTime, now);
		long cutoff = this.logTime - this.settings.retention().toNanos();
		List<ClaimEntry> expired = new ArrayList<>();
		for (ClaimEntry entry : this.claims.values()) {
			if (entry.claimedAt() > cutoff) {
				break;
			}
			expired.add(entry);
		}
		expired.forEach(this::expire);
	}

	private void expire(ClaimEntry entry) {
		this.claims.remove(entry.key());
		removeAnswer(entry);
	}

	private static <T> Result<T> failure(ErrorCode code, String message) {
		return Result.failure(OperationError.local(code, Step.CLAIM, message));
	}

}
