package org.comfreywall.common.id;

import org.comfreywall.common.util.Preconditions;

/**
 * Identifies a client account by name.
 *
 * @param value the name, not blank
 */
public record AccountId(String value) implements Comparable<AccountId> {

	public AccountId {
		Preconditions.notBlank(value, "value");
	}

	/**
	 * Creates an identifier from its name.
	 * @param value the name, not blank
	 * @return the identifier
	 */
	public static AccountId of(String value) {
		return new AccountId(value);
	}

	@Override
	public int compareTo(AccountId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
