package org.comfreywall.control.state;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.poison.CrashReport;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.poison.IsolationEnd;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.generated.IsolationReleaseRecord;
import org.comfreywall.control.generated.IsolationRequestRecord;
import org.comfreywall.control.generated.PoisonCommandRecord;

/**
 * Encodes commands and queries of {@link ReplicatedPoison}.
 */
public final class PoisonCommandCodec {

	private PoisonCommandCodec() {
	}

	/**
	 * Encodes a command that records the loss of a backend server.
	 * @param report the loss and the requests that were in flight
	 * @return the encoded command
	 */
	public static Bytes recordCrash(CrashReport report) {
		return encode(PoisonCommandRecord.newBuilder().setCharge(PoisonRecords.toRecord(report)));
	}

	/**
	 * Encodes a command that requests the slot for isolated runs.
	 * @param fingerprint the suspected fingerprint
	 * @param owner the request that is to run in isolation
	 * @return the encoded command, answered by {@link PoisonAnswerCodec#decodeIsolation}
	 */
	public static Bytes acquire(Fingerprint fingerprint, RequestId owner) {
		IsolationRequestRecord request = IsolationRequestRecord.newBuilder()
			.setFingerprint(PoisonRecords.toRecord(fingerprint))
			.setOwner(owner.value())
			.build();
		return encode(PoisonCommandRecord.newBuilder().setAcquire(request));
	}

	/**
	 * Encodes a command that returns the slot for isolated runs.
	 * @param fingerprint the suspected fingerprint
	 * @param owner the request that holds the slot
	 * @param end how the run ended
	 * @return the encoded command
	 */
	public static Bytes release(Fingerprint fingerprint, RequestId owner, IsolationEnd end) {
		IsolationReleaseRecord release = IsolationReleaseRecord.newBuilder()
			.setFingerprint(PoisonRecords.toRecord(fingerprint))
			.setOwner(owner.value())
			.setEnd(end.name())
			.build();
		return encode(PoisonCommandRecord.newBuilder().setRelease(release));
	}

	/**
	 * Encodes an operator's command that removes a fingerprint from the ledger.
	 * @param fingerprint the fingerprint
	 * @return the encoded command, answered by {@link PoisonAnswerCodec#decodeCleared}
	 */
	public static Bytes clear(Fingerprint fingerprint) {
		return encode(PoisonCommandRecord.newBuilder().setClear(PoisonRecords.toRecord(fingerprint)));
	}

	/**
	 * Encodes a query for the verdict about a fingerprint.
	 * @param fingerprint the fingerprint
	 * @return the encoded query, answered by {@link PoisonAnswerCodec#decodeVerdict}
	 */
	public static Bytes assess(Fingerprint fingerprint) {
		return Bytes.of(PoisonRecords.toRecord(fingerprint).toByteArray());
	}

	private static Bytes encode(PoisonCommandRecord.Builder command) {
		return Bytes.of(command.build().toByteArray());
	}

}
