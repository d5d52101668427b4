package org.comfreywall.control.state;

import com.google.protobuf.InvalidProtocolBufferException;
import org.comfreywall.common.claim.ClaimKey;
import org.comfreywall.common.claim.ClaimRunning;
import org.comfreywall.common.claim.NotRunProof;
import org.comfreywall.common.claim.RecordedAnswer;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.generated.ClaimCommandRecord;
import org.comfreywall.control.generated.ClaimKeyRecord;
import org.comfreywall.control.generated.ClaimReleaseRecord;
import org.comfreywall.control.generated.ClaimRequestRecord;

/**
 * Encodes commands and queries of {@link ReplicatedClaims}.
 */
public final class ClaimCommandCodec {

	private ClaimCommandCodec() {
	}

	/**
	 * Encodes a command that claims a key for the only attempt of a request.
	 * @param key the key
	 * @param bodyDigest the SHA-256 digest of the request's body in lower-case
	 * hexadecimal
	 * @param claim the claiming request, and the backend server and incarnation to which
	 * its attempt will be sent
	 * @return the encoded command, answered by {@link ClaimAnswerCodec#decodeResult}
	 */
	public static Bytes claim(ClaimKey key, String bodyDigest, ClaimRunning claim) {
		Preconditions.notBlank(bodyDigest, "bodyDigest");
		ClaimRequestRecord request = ClaimRequestRecord.newBuilder()
			.setBodyDigest(bodyDigest)
			.setAttempt(ClaimRecords.toAttemptRecord(claim.backendServer(), claim.incarnation()))
			.build();
		return encode(command(key, claim.owner()).setClaim(request));
	}

	/**
	 * Encodes a command that records the answer to a claimed request.
	 * @param key the claimed key
	 * @param owner the request that holds the claim
	 * @param answer the whole answer
	 * @return the encoded command, answered by {@link ClaimAnswerCodec#decodeState}
	 */
	public static Bytes recordAnswer(ClaimKey key, RequestId owner, RecordedAnswer answer) {
		return encode(command(key, owner).setFinish(ClaimRecords.toRecord(answer)));
	}

	/**
	 * Encodes a command that marks the outcome of a claimed request as unknown.
	 * @param key the claimed key
	 * @param owner the request that holds the claim
	 * @return the encoded command, answered by {@link ClaimAnswerCodec#decodeState}
	 */
	public static Bytes markUnknown(ClaimKey key, RequestId owner) {
		return encode(command(key, owner).setMarkUnknown(true));
	}

	/**
	 * Encodes a command that releases a claim whose request is proven not to have run.
	 * @param key the claimed key
	 * @param proof the proof
	 * @return the encoded command, answered by {@link ClaimAnswerCodec#decodeState} with
	 * the claim that was released
	 */
	public static Bytes release(ClaimKey key, NotRunProof proof) {
		ClaimReleaseRecord release = ClaimReleaseRecord.newBuilder()
			.setEvidence(proof.evidence().name())
			.setAttempt(ClaimRecords.toAttemptRecord(proof.backendServer(), proof.incarnation()))
			.build();
		return encode(command(key, proof.owner()).setRelease(release));
	}

	/**
	 * Encodes a query for the state of a claim.
	 * @param key the key
	 * @return the encoded query, answered by {@link ClaimAnswerCodec#decodeLookup}
	 */
	public static Bytes lookup(ClaimKey key) {
		return Bytes.of(ClaimRecords.toRecord(key).toByteArray());
	}

	static Result<ClaimCommandRecord> parse(Bytes command) {
		try {
			return Result.success(ClaimCommandRecord.parseFrom(command.toArray()));
		}
		catch (InvalidProtocolBufferException ex) {
			return malformed(ex);
		}
	}

	static Result<ClaimKey> parseKey(Bytes query) {
		try {
			return Result.success(ClaimRecords.fromRecord(ClaimKeyRecord.parseFrom(query.toArray())));
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			return malformed(ex);
		}
	}

	private static <T> Result<T> malformed(Exception cause) {
		return Result.failure(OperationError.local(ErrorCode.MALFORMED, Step.CLAIM,
				"the command or query for the claim ledger cannot be decoded: " + cause.getMessage()));
	}

	private static ClaimCommandRecord.Builder command(ClaimKey key, RequestId owner) {
		return ClaimCommandRecord.newBuilder().setKey(ClaimRecords.toRecord(key)).setOwner(owner.value());
	}

	private static Bytes encode(ClaimCommandRecord.Builder command) {
		return Bytes.of(command.build().toByteArray());
	}

}
