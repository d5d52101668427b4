package org.comfreywall.control.ledger;

import java.util.ArrayList;
import java.util.List;

import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.poison.PoisonVerdict;
import org.comfreywall.common.util.Preconditions;

/**
 * The losses of backend servers that the {@link PoisonLedger} charges to one fingerprint.
 * <p>
 * Losses attributed to another fingerprint are kept as explained, so that a further crash
 * still counts as the second one.
 *
 * @param fingerprint the fingerprint
 * @param charges the losses charged to it, without duplicates, oldest first
 * @param convicted whether a backend server was lost while the fingerprint ran in
 * isolation
 * @param changedAt the log time of the last charge or conviction in nanoseconds
 */
public record PoisonEntry(Fingerprint fingerprint, List<CrashCharge> charges, boolean convicted, long changedAt) {

	/** Number of crashes that quarantine a fingerprint without an isolated run. */
	static final int MAX_CRASHES = 2;

	/** Maximum number of losses kept for one fingerprint. */
	static final int MAX_CHARGES = 8;

	public PoisonEntry {
		Preconditions.notNull(fingerprint, "fingerprint");
		charges = List.copyOf(charges);
	}

	PoisonVerdict verdict() {
		boolean unexplained = this.charges.stream().anyMatch((charge) -> !charge.explained());
		boolean repeated = this.charges.stream().filter(CrashCharge::isBackendCrash).count() >= MAX_CRASHES;
		if (this.convicted || (unexplained && repeated)) {
			return PoisonVerdict.QUARANTINED;
		}
		return unexplained ? PoisonVerdict.SUSPECT : PoisonVerdict.CLEAR;
	}

	boolean covers(CrashCharge charge) {
		return this.charges.stream()
			.anyMatch(
					(earlier) -> earlier.isSameLoss(charge) && (earlier.isBackendCrash() || !charge.isBackendCrash()));
	}

	PoisonEntry withCharge(CrashCharge charge, long now) {
		List<CrashCharge> next = new ArrayList<>(this.charges);
		next.removeIf(charge::isSameLoss);
		next.add(charge);
		if (next.size() > MAX_CHARGES) {
			next.remove(0);
		}
		return new PoisonEntry(this.fingerprint, next, this.convicted, now);
	}

	PoisonEntry asConvicted(long now) {
		return new PoisonEntry(this.fingerprint, this.charges, true, now);
	}

	PoisonEntry withExplained(List<CrashCharge> losses) {
		List<CrashCharge> next = this.charges.stream()
			.map((charge) -> losses.stream().anyMatch(charge::isSameLoss) ? charge.asExplained() : charge)
			.toList();
		return new PoisonEntry(this.fingerprint, next, this.convicted, this.changedAt);
	}

}
