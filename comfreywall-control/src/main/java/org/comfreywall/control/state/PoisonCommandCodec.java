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
	 * Encodes the report of a lost backend server.
	 * @param report the report
	 * @return the encoded command
	 */
	public static Bytes charge(CrashReport report) {
		return encode(PoisonCommandRecord.newBuilder().setCharge(PoisonRecords.toRecord(report)));
	}

	/**
	 * Encodes the request for the slot for an isolated run.
	 * @param fingerprint the suspect
	 * @param owner the request that would run it
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
	 * Encodes the return of the slot.
	 * @param fingerprint the suspect
	 * @param owner the request that ran it
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
	 * Encodes an operator's order to forget a fingerprint.
	 * @param fingerprint the fingerprint
	 * @return the encoded command
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
