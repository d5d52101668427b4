package org.comfreywall.control.spread;

import java.util.Optional;

import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;

/**
 * A change that sets or removes one entry of a stream's state.
 *
 * @param key the entry's key
 * @param value the new value, or empty to remove the entry
 */
public record EntryChange(String key, Optional<Bytes> value) {

	public EntryChange {
		Preconditions.notBlank(key, "key");
		Preconditions.notNull(value, "value");
	}

	/**
	 * Creates a change that sets an entry.
	 * @param key the entry's key
	 * @param value the new value
	 * @return the change
	 */
	public static EntryChange set(String key, Bytes value) {
		return new EntryChange(key, Optional.of(value));
	}

	/**
	 * Creates a change that removes an entry.
	 * @param key the entry's key
	 * @return the change
	 */
	public static EntryChange remove(String key) {
		return new EntryChange(key, Optional.empty());
	}

}
