package org.comfreywall.control.state;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnsafeByteOperations;
import org.comfreywall.common.claim.ClaimCompleted;
import org.comfreywall.common.claim.ClaimKey;
import org.comfreywall.common.claim.ClaimRunning;
import org.comfreywall.common.claim.ClaimState;
import org.comfreywall.common.claim.ClaimUnknown;
import org.comfreywall.common.claim.RecordedAnswer;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.IdempotencyKey;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.generated.AttemptRecord;
import org.comfreywall.control.generated.ClaimEntryRecord;
import org.comfreywall.control.generated.ClaimKeyRecord;
import org.comfreywall.control.generated.ClaimLedgerRecord;
import org.comfreywall.control.generated.ClaimStateRecord;
import org.comfreywall.control.generated.RecordedAnswerRecord;
import org.comfreywall.control.ledger.ClaimEntry;
import org.comfreywall.control.ledger.ClaimLedgerSnapshot;

/**
 * Converts claims to and from Protobuf records. Malformed records raise
 * {@link IllegalArgumentException}.
 */
final class ClaimRecords {

	private ClaimRecords() {
	}

	static ClaimKeyRecord toRecord(ClaimKey key) {
		return ClaimKeyRecord.newBuilder()
			.setAccount(key.account().value())
			.setService(key.service().value())
			.setKey(key.key().value())
			.build();
	}

	static ClaimKey fromRecord(ClaimKeyRecord key) {
		return new ClaimKey(AccountId.of(key.getAccount()), ServiceId.of(key.getService()),
				IdempotencyKey.of(key.getKey()));
	}

	static RecordedAnswerRecord toRecord(RecordedAnswer answer) {
		return RecordedAnswerRecord.newBuilder()
			.setStatus(answer.status())
			.setContentType(answer.contentType())
			.setBody(UnsafeByteOperations.unsafeWrap(answer.body().toArray()))
			.build();
	}

	static RecordedAnswer fromRecord(RecordedAnswerRecord answer) {
		return new RecordedAnswer(answer.getStatus(), answer.getContentType(),
				Bytes.of(answer.getBody().toByteArray()));
	}

	static AttemptRecord toAttemptRecord(BackendServerId backendServer, Incarnation incarnation) {
		return AttemptRecord.newBuilder()
			.setBackendServer(backendServer.value())
			.setIncarnation(incarnation.value())
			.build();
	}

	static ClaimStateRecord toRecord(ClaimState state) {
		ClaimStateRecord.Builder builder = ClaimStateRecord.newBuilder().setOwner(state.owner().value());
		if (state instanceof ClaimRunning running) {
			builder.setRunning(toAttemptRecord(running.backendServer(), running.incarnation()));
		}
		else if (state instanceof ClaimCompleted completed) {
			builder.setCompleted(toRecord(completed.answer()));
		}
		else {
			builder.setUnknown(true);
		}
		return builder.build();
	}

	static ClaimState fromRecord(ClaimStateRecord state) {
		RequestId owner = RequestId.of(state.getOwner());
		return switch (state.getStateCase()) {
			case RUNNING -> new ClaimRunning(owner, BackendServerId.of(state.getRunning().getBackendServer()),
					Incarnation.of(state.getRunning().getIncarnation()));
			case COMPLETED -> new ClaimCompleted(owner, fromRecord(state.getCompleted()));
			case UNKNOWN -> new ClaimUnknown(owner);
			case STATE_NOT_SET -> throw new IllegalArgumentException("the claim has no state");
		};
	}

	static Bytes encode(ClaimLedgerSnapshot snapshot) {
		ClaimLedgerRecord.Builder builder = ClaimLedgerRecord.newBuilder().setLogTimeNanos(snapshot.logTime());
		snapshot.entries().forEach((entry) -> builder.addEntries(toRecord(entry)));
		return Bytes.of(builder.build().toByteArray());
	}

	static ClaimLedgerSnapshot decode(Bytes encoded) {
		try {
			ClaimLedgerRecord ledger = ClaimLedgerRecord.parseFrom(encoded.toArray());
			return new ClaimLedgerSnapshot(ledger.getLogTimeNanos(),
					ledger.getEntriesList().stream().map(ClaimRecords::fromRecord).toList());
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalArgumentException("the snapshot of the claims cannot be decoded", ex);
		}
	}

	private static ClaimEntryRecord toRecord(ClaimEntry entry) {
		return ClaimEntryRecord.newBuilder()
			.setKey(toRecord(entry.key()))
			.setBodyDigest(entry.bodyDigest())
			.setState(toRecord(entry.state()))
			.setClaimedAtNanos(entry.claimedAt())
			.setAnswerOrder(entry.answerOrder())
			.build();
	}

	private static ClaimEntry fromRecord(ClaimEntryRecord entry) {
		return new ClaimEntry(fromRecord(entry.getKey()), entry.getBodyDigest(), fromRecord(entry.getState()),
				entry.getClaimedAtNanos(), entry.getAnswerOrder());
	}

}
