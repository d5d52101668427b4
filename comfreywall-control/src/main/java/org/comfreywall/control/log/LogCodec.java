package org.comfreywall.control.log;

import java.util.Optional;

import com.google.protobuf.InvalidProtocolBufferException;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.generated.BatchRecord;
import org.comfreywall.control.generated.PeerMessageRecord;
import org.comfreywall.control.generated.SnapshotRecord;
import org.comfreywall.control.generated.VoteRecord;

/**
 * Encodes and decodes messages between control instances and records on disk.
 */
public final class LogCodec {

	private LogCodec() {
	}

	/**
	 * Encodes a message.
	 * @param message the message
	 * @return the encoded message
	 */
	public static Bytes encodeMessage(PeerMessage message) {
		Preconditions.notNull(message, "message");
		return Bytes.of(PeerMessageCodec.toRecord(message).toByteArray());
	}

	/**
	 * Decodes a message.
	 * @param encoded the encoded message
	 * @return the message, or an error if it is malformed
	 */
	public static Result<PeerMessage> decodeMessage(Bytes encoded) {
		Preconditions.notNull(encoded, "encoded");
		return decode((bytes) -> PeerMessageCodec.fromRecord(PeerMessageRecord.parseFrom(bytes)), encoded,
				"message of a control instance");
	}

	/**
	 * Encodes a snapshot.
	 * @param snapshot the snapshot
	 * @return the encoded snapshot
	 */
	public static Bytes encodeSnapshot(Snapshot snapshot) {
		Preconditions.notNull(snapshot, "snapshot");
		return Bytes.of(RecordCodec.toRecord(snapshot).toByteArray());
	}

	/**
	 * Decodes a snapshot.
	 * @param encoded the encoded snapshot
	 * @return the snapshot, or an error if it is malformed
	 */
	public static Result<Snapshot> decodeSnapshot(Bytes encoded) {
		Preconditions.notNull(encoded, "encoded");
		return decode((bytes) -> RecordCodec.fromRecord(SnapshotRecord.parseFrom(bytes)), encoded, "snapshot");
	}

	/**
	 * Encodes a batch.
	 * @param batch the batch
	 * @return the encoded batch
	 */
	public static Bytes encodeBatch(LogBatch batch) {
		Preconditions.notNull(batch, "batch");
		BatchRecord.Builder builder = BatchRecord.newBuilder();
		batch.hardState().map(LogCodec::toRecord).ifPresent(builder::setVote);
		batch.entries().forEach((entry) -> builder.addEntries(RecordCodec.toRecord(entry)));
		return Bytes.of(builder.build().toByteArray());
	}

	/**
	 * Encodes the part of the log that a compaction keeps.
	 * @param compaction the compaction
	 * @return the encoded batch
	 */
	public static Bytes encodeCompaction(Compaction compaction) {
		Preconditions.notNull(compaction, "compaction");
		BatchRecord.Builder builder = BatchRecord.newBuilder()
			.setVote(toRecord(compaction.hardState()))
			.setBase(RecordCodec.toRecord(compaction.base()));
		compaction.entries().forEach((entry) -> builder.addEntries(RecordCodec.toRecord(entry)));
		return Bytes.of(builder.build().toByteArray());
	}

	/**
	 * Decodes a batch and adds it to the log read so far.
	 * @param encoded the encoded batch
	 * @param reader the log read so far
	 * @return the reader, or an error if the batch is malformed or leaves a gap
	 */
	public static Result<LogReader> decodeBatch(Bytes encoded, LogReader reader) {
		Preconditions.notNull(encoded, "encoded");
		Preconditions.notNull(reader, "reader");
		return decode((bytes) -> reader.read(BatchRecord.parseFrom(bytes)), encoded, "batch of log entries");
	}

	private static VoteRecord toRecord(HardState state) {
		return VoteRecord.newBuilder()
			.setTerm(state.term().value())
			.setVotedFor(state.votedFor().map(InstanceId::value).orElse(""))
			.build();
	}

	static HardState fromRecord(VoteRecord vote) {
		Optional<InstanceId> votedFor = Optional.of(vote.getVotedFor())
			.filter((name) -> !name.isEmpty())
			.map(InstanceId::of);
		return new HardState(Term.of(vote.getTerm()), votedFor);
	}

	private static <T> Result<T> decode(Decoder<T> decoder, Bytes encoded, String kind) {
		try {
			return Result.success(decoder.decode(encoded.toArray()));
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			return Result.failure(OperationError.local(ErrorCode.MALFORMED, Step.REPLICATE,
					"a " + kind + " cannot be decoded: " + ex.getMessage()));
		}
	}

	/** Decodes a record. */
	private interface Decoder<T> {

		T decode(byte[] encoded) throws InvalidProtocolBufferException;

	}

}
