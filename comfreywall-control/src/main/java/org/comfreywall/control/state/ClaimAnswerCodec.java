package org.comfreywall.control.state;

import java.util.Optional;
import java.util.function.Function;

import com.google.protobuf.InvalidProtocolBufferException;
import org.comfreywall.common.claim.ClaimFound;
import org.comfreywall.common.claim.ClaimGranted;
import org.comfreywall.common.claim.ClaimMismatch;
import org.comfreywall.common.claim.ClaimResult;
import org.comfreywall.common.claim.ClaimRunning;
import org.comfreywall.common.claim.ClaimState;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.generated.ClaimAnswerRecord;
import org.comfreywall.control.generated.RefusedRecord;

/**
 * Encodes and decodes the answers of {@link ReplicatedClaims}.
 */
public final class ClaimAnswerCodec {

	private ClaimAnswerCodec() {
	}

	/**
	 * Decodes the answer to {@link ClaimCommandCodec#claim}.
	 * @param encoded the encoded answer
	 * @return the result, or the error with which the ledger rejected the command
	 */
	public static Result<ClaimResult> decodeResult(Bytes encoded) {
		return decode(encoded, ClaimAnswerCodec::result);
	}

	/**
	 * Decodes the answer to a command that changes an existing claim.
	 * @param encoded the encoded answer
	 * @return the claim's state, or the error with which the ledger rejected the command
	 */
	public static Result<ClaimState> decodeState(Bytes encoded) {
		return decode(encoded, (answer) -> ClaimRecords.fromRecord(answer.getState()));
	}

	/**
	 * Decodes the answer to a query.
	 * @param encoded the encoded answer
	 * @return the claim's state or empty if there is none, or the error with which the
	 * ledger rejected the query
	 */
	public static Result<Optional<ClaimState>> decodeLookup(Bytes encoded) {
		return decode(encoded, (answer) -> answer.getAbsent() ? Optional.empty()
				: Optional.of(ClaimRecords.fromRecord(answer.getState())));
	}

	private static ClaimResult result(ClaimAnswerRecord answer) {
		return switch (answer.getAnswerCase()) {
			case GRANTED -> new ClaimGranted((ClaimRunning) ClaimRecords.fromRecord(answer.getGranted()));
			case FOUND -> new ClaimFound(ClaimRecords.fromRecord(answer.getFound()));
			case MISMATCH -> new ClaimMismatch();
			default -> throw new IllegalArgumentException("the answer must be granted, found or mismatch");
		};
	}

	private static <T> Result<T> decode(Bytes encoded, Function<ClaimAnswerRecord, T> decoder) {
		try {
			ClaimAnswerRecord answer = ClaimAnswerRecord.parseFrom(encoded.toArray());
			if (answer.hasRefused()) {
				return error(ErrorCode.valueOf(answer.getRefused().getCode()), answer.getRefused().getMessage());
			}
			return Result.success(decoder.apply(answer));
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			return error(ErrorCode.MALFORMED, "the answer of the claim ledger cannot be decoded: " + ex.getMessage());
		}
	}

	private static <T> Result<T> error(ErrorCode code, String message) {
		return Result.failure(OperationError.local(code, Step.CLAIM, message));
	}

	static Bytes encodeResult(Result<ClaimResult> result) {
		return result.value().map(ClaimAnswerCodec::encode).orElseGet(() -> encodeError(result.error().orElseThrow()));
	}

	private static Bytes encode(ClaimResult result) {
		ClaimAnswerRecord.Builder builder = ClaimAnswerRecord.newBuilder();
		if (result instanceof ClaimGranted granted) {
			builder.setGranted(ClaimRecords.toRecord(granted.claim()));
		}
		else if (result instanceof ClaimFound found) {
			builder.setFound(ClaimRecords.toRecord(found.state()));
		}
		else {
			builder.setMismatch(true);
		}
		return Bytes.of(builder.build().toByteArray());
	}

	static Bytes encodeState(Result<? extends ClaimState> state) {
		return state.value().map(ClaimAnswerCodec::encode).orElseGet(() -> encodeError(state.error().orElseThrow()));
	}

	static Bytes encodeLookup(Optional<ClaimState> state) {
		return state.map(ClaimAnswerCodec::encode)
			.orElseGet(() -> Bytes.of(ClaimAnswerRecord.newBuilder().setAbsent(true).build().toByteArray()));
	}

	private static Bytes encode(ClaimState state) {
		return Bytes.of(ClaimAnswerRecord.newBuilder().setState(ClaimRecords.toRecord(state)).build().toByteArray());
	}

	private static Bytes encodeError(OperationError error) {
		RefusedRecord refused = RefusedRecord.newBuilder()
			.setCode(error.code().name())
			.setMessage(error.message())
			.build();
		return Bytes.of(ClaimAnswerRecord.newBuilder().setRefused(refused).build().toByteArray());
	}

	static Bytes encodeMalformed() {
		return encodeError(OperationError.local(ErrorCode.MALFORMED, Step.CLAIM,
				"the command or query for the claim ledger is malformed"));
	}

}
