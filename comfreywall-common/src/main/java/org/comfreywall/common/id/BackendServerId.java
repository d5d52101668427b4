package org.comfreywall.common.id;

import org.comfreywall.common.util.Preconditions;

/**
 * Identifies a backend server by name.
 *
 * @param value the name, not blank
 */
public record BackendServerId(String value) implements Comparable<BackendServerId> {

	public BackendServerId {
		Preconditions.notBlank(value, "value");
	}

	/**
	 * Creates an identifier from its name.
	 * @param value the name, not blank
	 * @return the identifier
	 */
	public static BackendServerId of(String value) {
		return new BackendServerId(value);
	}

	@Override
	public int compareTo(BackendServerId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
