package org.comfreywall.common.id;

import org.comfreywall.common.util.Preconditions;

/**
 * Identifies an expert-parallel group by name.
 *
 * @param value the name, not blank
 */
public record GroupId(String value) implements Comparable<GroupId> {

	public GroupId {
		Preconditions.notBlank(value, "value");
	}

	/**
	 * Creates an identifier from its name.
	 * @param value the name, not blank
	 * @return the identifier
	 */
	public static GroupId of(String value) {
		return new GroupId(value);
	}

	@Override
	public int compareTo(GroupId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
