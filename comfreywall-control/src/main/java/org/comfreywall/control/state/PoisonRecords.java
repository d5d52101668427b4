package org.comfreywall.control.state;

import java.util.Optional;

import com.google.protobuf.InvalidProtocolBufferException;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.poison.CrashEvidence;
import org.comfreywall.common.poison.CrashReport;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.generated.CrashChargeRecord;
import org.comfreywall.control.generated.CrashReportRecord;
import org.comfreywall.control.generated.FingerprintRecord;
import org.comfreywall.control.generated.IsolationSlotRecord;
import org.comfreywall.control.generated.PoisonEntryRecord;
import org.comfreywall.control.generated.PoisonLedgerRecord;
import org.comfreywall.control.ledger.IsolationSlot;
import org.comfreywall.control.ledger.PoisonEntry;
import org.comfreywall.control.ledger.PoisonLedgerSnapshot;
import org.comfreywall.control.ledger.RecordedLoss;

/**
 * Converts the data of the poison ledger to and from Protobuf records. Malformed records
 * raise {@link IllegalArgumentException}.
 */
final class PoisonRecords {

	private PoisonRecords() {
	}

	static FingerprintRecord toRecord(Fingerprint fingerprint) {
		return FingerprintRecord.newBuilder()
			.setAccount(fingerprint.account().value())
			.setService(fingerprint.service().value())
			.setBodyDigest(fingerprint.bodyDigest())
			.build();
	}

	static Fingerprint fromRecord(FingerprintRecord fingerprint) {
		return new Fingerprint(AccountId.of(fingerprint.getAccount()), ServiceId.of(fingerprint.getService()),
				fingerprint.getBodyDigest());
	}

	static CrashReportRecord toRecord(CrashReport report) {
		return CrashReportRecord.newBuilder()
			.setEvidence(report.evidence().name())
			.setBackendServer(report.backendServer().value())
			.setIncarnation(report.incarnation().value())
			.setCrash(report.crashNumber())
			.addAllInFlight(report.inFlight().stream().map(PoisonRecords::toRecord).toList())
			.setIsolated(report.isolated())
			.build();
	}

	static CrashReport fromRecord(CrashReportRecord report) {
		return new CrashReport(CrashEvidence.valueOf(report.getEvidence()),
				BackendServerId.of(report.getBackendServer()), Incarnation.of(report.getIncarnation()),
				report.getCrash(), report.getInFlightList().stream().map(PoisonRecords::fromRecord).toList(),
				report.getIsolated());
	}

	static Bytes encode(PoisonLedgerSnapshot snapshot) {
		PoisonLedgerRecord.Builder builder = PoisonLedgerRecord.newBuilder().setLogTimeNanos(snapshot.logTime());
		snapshot.entries().forEach((entry) -> builder.addEntries(toRecord(entry)));
		snapshot.slot().map(PoisonRecords::toRecord).ifPresent(builder::setSlot);
		return Bytes.of(builder.build().toByteArray());
	}

	static PoisonLedgerSnapshot decode(Bytes encoded) {
		try {
			PoisonLedgerRecord ledger = PoisonLedgerRecord.parseFrom(encoded.toArray());
			Optional<IsolationSlot> slot = ledger.hasSlot() ? Optional.of(fromRecord(ledger.getSlot()))
					: Optional.empty();
			return new PoisonLedgerSnapshot(ledger.getLogTimeNanos(),
					ledger.getEntriesList().stream().map(PoisonRecords::fromRecord).toList(), slot);
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalArgumentException("the snapshot of the poison ledger cannot be decoded", ex);
		}
	}

	private static PoisonEntryRecord toRecord(PoisonEntry entry) {
		return PoisonEntryRecord.newBuilder()
			.setFingerprint(toRecord(entry.fingerprint()))
			.addAllCharges(entry.losses().stream().map(PoisonRecords::toRecord).toList())
			.setConvicted(entry.lostInIsolation())
			.setChangedAtNanos(entry.changedAt())
			.build();
	}

	private static PoisonEntry fromRecord(PoisonEntryRecord entry) {
		return new PoisonEntry(fromRecord(entry.getFingerprint()),
				entry.getChargesList().stream().map(PoisonRecords::fromRecord).toList(), entry.getConvicted(),
				entry.getChangedAtNanos());
	}

	private static CrashChargeRecord toRecord(RecordedLoss loss) {
		return CrashChargeRecord.newBuilder()
			.setBackendServer(loss.backendServer().value())
			.setIncarnation(loss.incarnation().value())
			.setCrash(loss.crashNumber())
			.setExplained(loss.causeKnown())
			.build();
	}

	private static RecordedLoss fromRecord(CrashChargeRecord loss) {
		return new RecordedLoss(BackendServerId.of(loss.getBackendServer()), Incarnation.of(loss.getIncarnation()),
				loss.getCrash(), loss.getExplained());
	}

	private static IsolationSlotRecord toRecord(IsolationSlot slot) {
		return IsolationSlotRecord.newBuilder()
			.setFingerprint(toRecord(slot.fingerprint()))
			.setOwner(slot.owner().value())
			.setExpiresAtNanos(slot.expiresAt())
			.build();
	}

	private static IsolationSlot fromRecord(IsolationSlotRecord slot) {
		return new IsolationSlot(fromRecord(slot.getFingerprint()), RequestId.of(slot.getOwner()),
				slot.getExpiresAtNanos());
	}

}
