package org.comfreywall.control.ledger;

import java.util.ArrayList;
import java.util.List;

import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.poison.PoisonVerdict;
import org.comfreywall.common.util.Preconditions;

/**
 * The losses of backend servers that the {@link PoisonLedger} records for one
 * fingerprint.
 * <p>
 * Losses that are attributed to another fingerprint are kept and marked, so that a
 * further crash still counts as the second one.
 *
 * @param fingerprint the fingerprint
 * @param losses the losses of backend servers on which it was in flight, without
 * duplicates, oldest first
 * @param lostInIsolation whether a backend server was lost while the fingerprint ran in
 * isolation, or its isolated run did not end in time
 * @param changedAt the log time in nanoseconds at which a loss was last recorded
 */
public record PoisonEntry(Fingerprint fingerprint, List<RecordedLoss> losses, boolean lostInIsolation, long changedAt) {

	/**
	 * Number of recorded crashes from which a suspected fingerprint is quarantined
	 * without an isolated run.
	 */
	static final int CRASHES_TO_QUARANTINE = 2;

	/** Maximum number of losses kept for one fingerprint. */
	static final int MAX_LOSSES = 8;

	public PoisonEntry {
		Preconditions.notNull(fingerprint, "fingerprint");
		losses = List.copyOf(losses);
	}

	PoisonVerdict verdict() {
		boolean suspected = this.losses.stream().anyMatch((loss) -> !loss.causeKnown());
		boolean repeated = this.losses.stream().filter(RecordedLoss::isBackendCrash).count() >= CRASHES_TO_QUARANTINE;
		if (this.lostInIsolation || (suspected && repeated)) {
			return PoisonVerdict.QUARANTINED;
		}
		return suspected ? PoisonVerdict.SUSPECT : PoisonVerdict.CLEAR;
	}

	// Returns whether a loss is recorded already. The crash of a backend server is not
	// if only the loss of its sidecar is recorded: only crashes count towards the number
	// that quarantines, so the crash has to replace that loss.
	boolean hasRecorded(RecordedLoss loss) {
		return this.losses.stream()
			.anyMatch((earlier) -> earlier.isSameLoss(loss) && (earlier.isBackendCrash() || !loss.isBackendCrash()));
	}

	// Adds a loss; a crash replaces the recorded loss of its sidecar. Drops the oldest
	// loss if there are too many.
	PoisonEntry withLoss(RecordedLoss loss, long now) {
		List<RecordedLoss> next = new ArrayList<>(this.losses);
		next.removeIf(loss::isSameLoss);
		next.add(loss);
		if (next.size() > MAX_LOSSES) {
			next.remove(0);
		}
		return new PoisonEntry(this.fingerprint, next, this.lostInIsolation, now);
	}

	PoisonEntry withLossInIsolation(long now) {
		return new PoisonEntry(this.fingerprint, this.losses, true, now);
	}

	// Marks the recorded losses that are among those attributed to a fingerprint. The
	// time of the last change stays, as no loss is added.
	PoisonEntry withKnownCauseOf(List<RecordedLoss> attributed) {
		List<RecordedLoss> next = this.losses.stream()
			.map((loss) -> attributed.stream().anyMatch(loss::isSameLoss) ? loss.withKnownCause() : loss)
			.toList();
		return new PoisonEntry(this.fingerprint, next, this.lostInIsolation, this.changedAt);
	}

}
