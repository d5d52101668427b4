package org.comfreywall.common.id;

import org.comfreywall.common.util.Preconditions;

/**
 * Identifies a configuration change that an operator submitted. The submitter chooses the
 * identifier; a change that is sent again under the same identifier receives the answer
 * of its first submission while that answer is cached.
 *
 * @param value the identifier, not blank
 */
public record ChangeId(String value) implements Comparable<ChangeId> {

	public ChangeId {
		Preconditions.notBlank(value, "value");
	}

	/**
	 * Creates an identifier.
	 * @param value the identifier, not blank
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
