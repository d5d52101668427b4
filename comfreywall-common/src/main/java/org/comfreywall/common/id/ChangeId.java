package org.comfreywall.common.id;

import org.comfreywall.common.util.Preconditions;

/**
 * Identifies a configuration change that an operator submitted.
 *
 * @param value the name, not blank
 */
public record ChangeId(String value) implements Comparable<ChangeId> {

	public ChangeId {
		Preconditions.notBlank(value, "value");
	}

	/**
	 * Creates an identifier from its name.
	 * @param value the name, not blank
	 * @return the identifier
	 */
	public static ChangeId of(String value) {
		return new ChangeId(value);
	}

	@Override
	public int compareTo(ChangeId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
