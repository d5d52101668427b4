package org.comfreywall.entry.prefix;

import java.util.Arrays;

import org.comfreywall.common.util.Preconditions;

/**
 * An immutable list of block hashes.
 */
public final class BlockHashes {

	private final long[] values;

	private BlockHashes(long[] values) {
		this.values = values;
	}

	/**
	 * Copies hashes.
	 * @param values the hashes
	 * @return the list
	 */
	public static BlockHashes of(long... values) {
		return new BlockHashes(Preconditions.notNull(values, "values").clone());
	}

	/**
	 * Returns the number of hashes.
	 * @return the size
	 */
	public int size() {
		return this.values.length;
	}

	/**
	 * Returns one hash.
	 * @param index the position from 0
	 * @return the hash
	 */
	public long get(int index) {
		return this.values[index];
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof BlockHashes hashes && Arrays.equals(this.values, hashes.values);
	}

	@Override
	public int hashCode() {
		return Arrays.hashCode(this.values);
	}

	@Override
	public String toString() {
		return "BlockHashes[" + this.values.length + "]";
	}

}
