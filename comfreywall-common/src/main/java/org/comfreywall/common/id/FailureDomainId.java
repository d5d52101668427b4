package org.comfreywall.common.id;

import org.comfreywall.common.util.Preconditions;

/**
 * Identifies a failure domain by name.
 *
 * @param value the name, not blank
 */
public record FailureDomainId(String value) implements Comparable<FailureDomainId> {

	public FailureDomainId {
		Preconditions.notBlank(value, "value");
	}

	/**
	 * Creates an identifier from its name.
	 * @param value the name, not blank
	 * @return the identifier
	 */
	public static FailureDomainId of(String value) {
		return new FailureDomainId(value);
	}

	@Override
	public int compareTo(FailureDomainId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
