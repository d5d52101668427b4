package org.comfreywall.control.state;

import java.util.Optional;

import com.google.protobuf.InvalidProtocolBufferException;
import org.comfreywall.common.id.ChangeId;
import org.comfreywall.common.id.Revision;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.generated.AcceptedRecord;
import org.comfreywall.control.generated.ChangeAnswerRecord;
import org.comfreywall.control.generated.ChangeRecord;
import org.comfreywall.control.generated.ConfigurationLedgerRecord;
import org.comfreywall.control.generated.ConflictRecord;
import org.comfreywall.control.generated.HistoryRecord;
import org.comfreywall.control.generated.RefusedRecord;
import org.comfreywall.control.generated.RememberedAnswerRecord;

/**
 * Encodes configuration changes and their answers.
 */
public final class ChangeCodec {

	private ChangeCodec() {
	}

	/**
	 * Encodes a change as a command of the {@link ConfigurationLedger}.
	 * @param change the change
	 * @return the encoded change, equal for equal changes
	 */
	public static Bytes encode(ConfigurationChange change) {
		Preconditions.notNull(change, "change");
		return Bytes.of(toRecord(change).toByteArray());
	}

	/**
	 * Decodes a change.
	 * @param encoded the encoded change
	 * @return the change, or an error if it is malformed
	 */
	public static Result<ConfigurationChange> decode(Bytes encoded) {
		try {
			return Result.success(fromRecord(ChangeRecord.parseFrom(encoded.toArray())));
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			return malformed("configuration change", ex);
		}
	}

	/**
	 * Encodes an answer.
	 * @param answer the answer
	 * @return the encoded answer
	 */
	public static Bytes encodeAnswer(ChangeAnswer answer) {
		return Bytes.of(toRecord(answer).toByteArray());
	}

	/**
	 * Decodes an answer.
	 * @param encoded the encoded answer
	 * @return the answer, or an error if it is malformed
	 */
	public static Result<ChangeAnswer> decodeAnswer(Bytes encoded) {
		try {
			return Result.success(fromRecord(ChangeAnswerRecord.parseFrom(encoded.toArray())));
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			return malformed("answer to a configuration change", ex);
		}
	}

	private static <T> Result<T> malformed(String what, Exception cause) {
		return Result.failure(OperationError.local(ErrorCode.MALFORMED, Step.CONFIGURE,
				"the " + what + " cannot be decoded: " + cause.getMessage()));
	}

	static ChangeRecord toRecord(ConfigurationChange change) {
		ChangeRecord.Builder builder = ChangeRecord.newBuilder()
			.setChangeId(change.id().value())
			.setExpectedRevision(change.expected().value())
			.setAuthor(change.author())
			.setReason(change.reason());
		if (change.content() instanceof ConfigurationDelta delta) {
			return builder.setDelta(ConfigurationCodec.toRecord(delta)).build();
		}
		return builder.setRollbackTo(((Rollback) change.content()).to().value()).build();
	}

	static ConfigurationChange fromRecord(ChangeRecord change) {
		return new ConfigurationChange(ChangeId.of(change.getChangeId()), Revision.of(change.getExpectedRevision()),
				change.getAuthor(), change.getReason(), content(change));
	}

	private static ChangeContent content(ChangeRecord change) {
		return switch (change.getContentCase()) {
			case DELTA -> ConfigurationCodec.fromRecord(change.getDelta());
			case ROLLBACK_TO -> new Rollback(Revision.of(change.getRollbackTo()));
			case CONTENT_NOT_SET -> throw new IllegalArgumentException("the change has no content");
		};
	}

	static ChangeAnswerRecord toRecord(ChangeAnswer answer) {
		ChangeAnswerRecord.Builder builder = ChangeAnswerRecord.newBuilder();
		if (answer instanceof ChangeAccepted accepted) {
			builder.setAccepted(AcceptedRecord.newBuilder().setRevision(accepted.revision().value()));
		}
		else if (answer instanceof ChangeConflict conflict) {
			builder.setConflict(toRecord(conflict));
		}
		else if (answer instanceof ChangeRefused refused) {
			builder.setRefused(RefusedRecord.newBuilder().setCode(refused.code().name()).setMessage(refused.message()));
		}
		return builder.build();
	}

	private static ConflictRecord toRecord(ChangeConflict conflict) {
		ConflictRecord.Builder builder = ConflictRecord.newBuilder().setRevision(conflict.revision().value());
		conflict.winner()
			.ifPresent((winner) -> builder.setWinner(winner.change().value()).setWinnerAuthor(winner.author()));
		return builder.build();
	}

	private static ChangeAnswer fromRecord(ChangeAnswerRecord answer) {
		return switch (answer.getAnswerCase()) {
			case ACCEPTED -> new ChangeAccepted(Revision.of(answer.getAccepted().getRevision()));
			case CONFLICT -> fromRecord(answer.getConflict());
			case REFUSED ->
				new ChangeRefused(ErrorCode.valueOf(answer.getRefused().getCode()), answer.getRefused().getMessage());
			case ANSWER_NOT_SET -> throw new IllegalArgumentException("the answer is empty");
		};
	}

	private static ChangeConflict fromRecord(ConflictRecord conflict) {
		Optional<ChangeWinner> winner = Optional.of(conflict.getWinner())
			.filter((id) -> !id.isEmpty())
			.map((id) -> new ChangeWinner(ChangeId.of(id), conflict.getWinnerAuthor()));
		return new ChangeConflict(Revision.of(conflict.getRevision()), winner);
	}

	static HistoryRecord toRecord(AcceptedChange change) {
		return HistoryRecord.newBuilder()
			.setRevision(change.revision().value())
			.setChangeId(change.change().value())
			.setAuthor(change.author())
			.setReason(change.reason())
			.setLogTimeMillis(change.time().millis())
			.setForward(ConfigurationCodec.toRecord(change.forward()))
			.setBackward(ConfigurationCodec.toRecord(change.backward()))
			.build();
	}

	static AcceptedChange fromRecord(HistoryRecord change) {
		return new AcceptedChange(Revision.of(change.getRevision()), ChangeId.of(change.getChangeId()),
				change.getAuthor(), change.getReason(), LogTime.of(change.getLogTimeMillis()),
				ConfigurationCodec.fromRecord(change.getForward()),
				ConfigurationCodec.fromRecord(change.getBackward()));
	}

	static RememberedAnswerRecord toRecord(ChangeId id, CachedAnswer answer) {
		return RememberedAnswerRecord.newBuilder()
			.setChangeId(id.value())
			.setDigest(answer.digest())
			.setAnswer(toRecord(answer.answer()))
			.build();
	}

	static CachedAnswer fromRecord(RememberedAnswerRecord answer) {
		return new CachedAnswer(answer.getDigest(), fromRecord(answer.getAnswer()));
	}

	static ConfigurationLedgerRecord parseLedger(Bytes snapshot) {
		try {
			return ConfigurationLedgerRecord.parseFrom(snapshot.toArray());
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalArgumentException("the snapshot of the configuration cannot be decoded", ex);
		}
	}

}
