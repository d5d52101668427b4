package org.comfreywall.control.state;

import java.util.OptionalLong;

import org.comfreywall.common.util.Preconditions;

/**
 * Starts or finishes the evacuation of a failure domain.
 *
 * @param domain the failure domain, of 1 to {@value #MAX_DOMAIN_LENGTH} characters
 * @param start {@code true} to start the evacuation, {@code false} to finish it
 * @param knownVersion the version of the orders that the operator may have known of when
 * giving this order, at most; empty to apply the command after any others
 */
public record EvacuationCommand(String domain, boolean start, OptionalLong knownVersion) {

	/** Maximum length of the name of a failure domain, in characters. */
	public static final int MAX_DOMAIN_LENGTH = 200;

	public EvacuationCommand {
		Preconditions.notBlank(domain, "domain");
		Preconditions.check(domain.length() <= MAX_DOMAIN_LENGTH, "domain must not be longer than %d characters",
				MAX_DOMAIN_LENGTH);
		Preconditions.notNull(knownVersion, "knownVersion");
		Preconditions.check(knownVersion.orElse(0) >= 0, "knownVersion must not be negative: %s", knownVersion);
	}

	/**
	 * Creates a command that applies after any others, as versions before the known
	 * version proposed it.
	 * @param domain the failure domain
	 * @param start {@code true} to start the evacuation, {@code false} to finish it
	 */
	public EvacuationCommand(String domain, boolean start) {
		this(domain, start, OptionalLong.empty());
	}

	/**
	 * Returns whether another command may have taken effect after this order was given.
	 * @param current the orders at which the command is applied
	 * @return {@code true} if the version has changed since the known one
	 */
	boolean isOutdated(EvacuationOrders current) {
		return this.knownVersion.isPresent() && this.knownVersion.getAsLong() != current.version();
	}

}
