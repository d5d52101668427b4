package org.comfreywall.gateway.poison;

import java.util.stream.Stream;

import org.comfreywall.common.util.Preconditions;

/**
 * The answer of the {@link PoisonEvidenceLedger} to a command or a query.
 *
 * @param logTimeMillis the log time of the command, or of the last one before the query,
 * in milliseconds
 * @param evidence all evidence by log time; empty in the answer to a command
 */
public record StoredPoisonEvidence(long logTimeMillis, PoisonEvidence evidence) {

	public StoredPoisonEvidence {
		Preconditions.notNull(evidence, "evidence");
	}

	/**
	 * Returns the evidence by the clock of a process that has just started.
	 * @param now the current time in nanoseconds
	 * @return the evidence
	 */
	public PoisonEvidence since(long now) {
		long logTime = PoisonEvidenceCodec.nanos(this.logTimeMillis);
		long newest = Stream.of(this.evidence.charges(), this.evidence.unconfirmed())
			.flatMap((charges) -> charges.stream())
			.mapToLong(CrashCharge::at)
			.max()
			.orElse(logTime);
		// The log time may have stood still. Crashes before and after the start of a
		// process do not count as one.
		long age = Math.max(logTime - newest, CrashCharges.SEPARATE_CRASHES_NANOS);
		return this.evidence.plus(now - age - newest);
	}

}
