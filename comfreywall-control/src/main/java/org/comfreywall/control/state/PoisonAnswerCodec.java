package org.comfreywall.control.state;

import java.util.function.Function;

import com.google.protobuf.InvalidProtocolBufferException;
import org.comfreywall.common.poison.IsolationResult;
import org.comfreywall.common.poison.PoisonVerdict;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.generated.PoisonAnswerRecord;
import org.comfreywall.control.generated.RefusedRecord;

/**
 * Encodes and decodes the answers of {@link ReplicatedPoison}.
 */
public final class PoisonAnswerCodec {

	private PoisonAnswerCodec() {
	}

	/**
	 * Decodes the answer to {@link PoisonCommandCodec#acquire}.
	 * @param encoded the encoded answer
	 * @return the result, or an error if the answer is malformed
	 */
	public static Result<IsolationResult> decodeIsolation(Bytes encoded) {
		return decode(encoded, (answer) -> IsolationResult.valueOf(answer.getIsolation()));
	}

	/**
	 * Decodes the answer to {@link PoisonCommandCodec#assess}.
	 * @param encoded the encoded answer
	 * @return the verdict, or an error if the answer is malformed
	 */
	public static Result<PoisonVerdict> decodeVerdict(Bytes encoded) {
		return decode(encoded, (answer) -> PoisonVerdict.valueOf(answer.getVerdict()));
	}

	/**
	 * Decodes the answer to {@link PoisonCommandCodec#clear}.
	 * @param encoded the encoded answer
	 * @return whether the ledger held the fingerprint, or an error if the answer is
	 * malformed
	 */
	public static Result<Boolean> decodeCleared(Bytes encoded) {
		return decode(encoded, PoisonAnswerRecord::getKnown);
	}

	private static <T> Result<T> decode(Bytes encoded, Function<PoisonAnswerRecord, T> decoder) {
		try {
			PoisonAnswerRecord answer = PoisonAnswerRecord.parseFrom(encoded.toArray());
			Preconditions.check(!answer.hasRefused(), "%s", answer.getRefused().getMessage());
			return Result.success(decoder.apply(answer));
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			return Result.failure(OperationError.local(ErrorCode.MALFORMED, Step.CLAIM,
					"the answer of the poison ledger cannot be decoded: " + ex.getMessage()));
		}
	}

	static Bytes encodeDone() {
		return encode(PoisonAnswerRecord.newBuilder().setDone(true));
	}

	static Bytes encodeIsolation(IsolationResult result) {
		return encode(PoisonAnswerRecord.newBuilder().setIsolation(result.name()));
	}

	static Bytes encodeVerdict(PoisonVerdict verdict) {
		return encode(PoisonAnswerRecord.newBuilder().setVerdict(verdict.name()));
	}

	static Bytes encodeCleared(boolean cleared) {
		return encode(PoisonAnswerRecord.newBuilder().setKnown(cleared));
	}

	static Bytes encodeMalformed() {
		RefusedRecord refused = RefusedRecord.newBuilder()
			.setCode(ErrorCode.MALFORMED.name())
			.setMessage("the command or query for the poison ledger is malformed")
			.build();
		return encode(PoisonAnswerRecord.newBuilder().setRefused(refused));
	}

	private static Bytes encode(PoisonAnswerRecord.Builder answer) {
		return Bytes.of(answer.build().toByteArray());
	}

}
