package org.comfreywall.gateway.poison;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.InvalidProtocolBufferException;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.transport.generated.BegunNotice;
import org.comfreywall.transport.generated.CrashNotice;
import org.comfreywall.transport.generated.PoisonEvidenceRecord;

/**
 * Encodes and decodes evidence for other entries and for the
 * {@link PoisonEvidenceLedger}. Times are encoded as ages.
 */
public final class PoisonEvidenceCodec {

	private PoisonEvidenceCodec() {
	}

	/**
	 * Encodes a command that stores evidence.
	 * @param evidence the evidence, by log time
	 * @param logTimeMillis the current log time in milliseconds as far as it is known
	 * @return the encoded command
	 */
	public static Bytes store(PoisonEvidence evidence, long logTimeMillis) {
		return Bytes.of(encode(evidence, logTimeMillis).build().toByteArray());
	}

	/**
	 * Encodes a command that only moves the log time on to the present.
	 * @return the encoded command
	 */
	public static Bytes advanceTime() {
		return Bytes.of(PoisonEvidenceRecord.getDefaultInstance().toByteArray());
	}

	/**
	 * Decodes the answer to a command, which contains the log time only, or to a query.
	 * @param answer the encoded answer
	 * @return the answer, or empty if the command or the answer is malformed
	 */
	public static Optional<StoredPoisonEvidence> decodeAnswer(Bytes answer) {
		return parse(answer).filter(PoisonEvidenceRecord::hasLogTimeMillis)
			.map((record) -> new StoredPoisonEvidence(record.getLogTimeMillis(),
					decode(record, nanos(record.getLogTimeMillis()))));
	}

	static Optional<PoisonEvidenceRecord> parse(Bytes encoded) {
		try {
			return Optional.of(PoisonEvidenceRecord.parseFrom(encoded.toArray()));
		}
		catch (InvalidProtocolBufferException ex) {
			return Optional.empty();
		}
	}

	static PoisonEvidenceRecord.Builder encode(PoisonEvidence evidence, long logTimeMillis) {
		long now = nanos(logTimeMillis);
		return PoisonEvidenceRecord.newBuilder()
			.setLogTimeMillis(logTimeMillis)
			.addAllCrashes(notices(evidence.charges(), now))
			.addAllBegun(notices(evidence.begun(), now))
			.addAllCompleted(notices(evidence.completed(), now))
			.addAllUnconfirmed(notices(evidence.unconfirmed(), now));
	}

	static PoisonEvidence decode(PoisonEvidenceRecord record, long now) {
		return new PoisonEvidence(charges(record.getCrashesList(), now), times(record.getBegunList(), now),
				times(record.getCompletedList(), now), charges(record.getUnconfirmedList(), now));
	}

	/**
	 * Encodes charges.
	 * @param charges the charges
	 * @param now the current time in nanoseconds
	 * @return the messages
	 */
	public static List<CrashNotice> notices(Collection<CrashCharge> charges, long now) {
		return charges.stream()
			.map((charge) -> CrashNotice.newBuilder()
				.setIncarnation(charge.incarnation())
				.setRequest(charge.request())
				.addAllSharedParts(charge.sharedParts())
				.setFingerprint(charge.fingerprint())
				.setBegun(charge.begun())
				.setAgeMillis(ageMillis(charge.at(), now))
				.setAccount(charge.account())
				.build())
			.toList();
	}

	/**
	 * Encodes the times at which responses with traits began or were complete.
	 * @param times the times by trait
	 * @param now the current time in nanoseconds
	 * @return the messages, sorted by trait
	 */
	public static List<BegunNotice> notices(Map<String, Long> times, long now) {
		return new TreeMap<>(times).entrySet()
			.stream()
			.map((each) -> BegunNotice.newBuilder()
				.setTrait(each.getKey())
				.setAgeMillis(ageMillis(each.getValue(), now))
				.build())
			.toList();
	}

	/**
	 * Decodes charges; those that name no incarnation or no request are left out.
	 * @param notices the messages
	 * @param now the current time in nanoseconds
	 * @return the charges
	 */
	public static List<CrashCharge> charges(List<CrashNotice> notices, long now) {
		return notices.stream()
			.filter((notice) -> !notice.getIncarnation().isBlank() && !notice.getFingerprint().isBlank())
			.map((notice) -> new CrashCharge(notice.getIncarnation(), notice.getRequest(), notice.getSharedPartsList(),
					notice.getFingerprint(), notice.getBegun(), time(notice.getAgeMillis(), now), notice.getAccount()))
			.toList();
	}

	/**
	 * Decodes the times at which responses with traits began or were complete.
	 * @param notices the messages
	 * @param now the current time in nanoseconds
	 * @return the times by trait
	 */
	public static Map<String, Long> times(List<BegunNotice> notices, long now) {
		Map<String, Long> times = new HashMap<>();
		notices.forEach((notice) -> times.put(notice.getTrait(), time(notice.getAgeMillis(), now)));
		return times;
	}

	static long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private static long time(int ageMillis, long now) {
		return now - nanos(Integer.toUnsignedLong(ageMillis));
	}

	private static int ageMillis(long at, long now) {
		return (int) Math.max(0, Math.min(Integer.MAX_VALUE, TimeUnit.NANOSECONDS.toMillis(now - at)));
	}

}
