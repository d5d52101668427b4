package org.comfreywall.common.id;

import org.comfreywall.common.util.Preconditions;

/**
 * Identifies a non-idempotent operation chosen by the caller, unique within its client
 * account and service by name.
 *
 * @param value the name, not blank
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {

	public IdempotencyKey {
		Preconditions.notBlank(value, "value");
	}

	/**
	 * Creates an identifier from its name.
	 * @param value the name, not blank
	 * @return the identifier
	 */
	public static IdempotencyKey of(String value) {
		return new IdempotencyKey(value);
	}

	@Override
	public int compareTo(IdempotencyKey other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
