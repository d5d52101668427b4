package org.comfreywall.common.id;

import org.comfreywall.common.util.Preconditions;

/**
 * The key by which a caller identifies repetitions of a non-idempotent request, unique
 * within the client account and service.
 *
 * @param value the key, not blank
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {

	public IdempotencyKey {
		Preconditions.notBlank(value, "value");
	}

	/**
	 * Creates an idempotency key.
	 * @param value the key, not blank
	 * @return the idempotency key
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
