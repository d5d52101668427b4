package org.comfreywall.common.id;

import org.comfreywall.common.util.Preconditions;

/**
 * Identifies an instance, which runs processes of the system or a backend server, by
 * name.
 *
 * @param value the name, not blank
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

	public InstanceId {
		Preconditions.notBlank(value, "value");
	}

	/**
	 * Creates an identifier from its name.
	 * @param value the name, not blank
	 * @return the identifier
	 */
	public static InstanceId of(String value) {
		return new InstanceId(value);
	}

	@Override
	public int compareTo(InstanceId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
