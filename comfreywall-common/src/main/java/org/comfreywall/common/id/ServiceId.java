package org.comfreywall.common.id;

import org.comfreywall.common.util.Preconditions;

/**
 * Identifies a service offered to client accounts by name.
 *
 * @param value the name, not blank
 */
public record ServiceId(String value) implements Comparable<ServiceId> {

	public ServiceId {
		Preconditions.notBlank(value, "value");
	}

	/**
	 * Creates an identifier from its name.
	 * @param value the name, not blank
	 * @return the identifier
	 */
	public static ServiceId of(String value) {
		return new ServiceId(value);
	}

	@Override
	public int compareTo(ServiceId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
