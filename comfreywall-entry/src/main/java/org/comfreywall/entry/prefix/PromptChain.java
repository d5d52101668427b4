package org.comfreywall.entry.prefix;

import java.util.Arrays;

import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;

/**
 * The chained block hashes of a prompt; equal hashes at one position mean equal prefixes
 * up to the end of that block.
 */
public final class PromptChain {

	/** The maximum number of blocks of one prompt. */
	public static final int MAX_BLOCKS = 256;

	/** The chain of a prompt that is shorter than one block or unknown. */
	public static final PromptChain EMPTY = new PromptChain(new long[0], 1);

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private final long[] hashes;

	private final int blockTokens;

	private PromptChain(long[] hashes, int blockTokens) {
		this.hashes = hashes;
		this.blockTokens = blockTokens;
	}

	/**
	 * Creates a chain from block hashes that are already chained, as engines report them.
	 * @param hashes the hashes in prompt order; those past {@link #MAX_BLOCKS} are
	 * ignored
	 * @param blockTokens the number of tokens in a block, at least 1
	 * @return the chain
	 */
	public static PromptChain of(long[] hashes, int blockTokens) {
		Preconditions.notNull(hashes, "hashes");
		Preconditions.check(blockTokens >= 1, "blockTokens must be at least 1: %d", blockTokens);
		return new PromptChain(Arrays.copyOf(hashes, Math.min(hashes.length, MAX_BLOCKS)), blockTokens);
	}

	/**
	 * Computes the chain of a prompt's text with FNV-1a; an incomplete last block is
	 * omitted.
	 * @param prompt the prompt
	 * @param blockBytes the number of bytes in a block, at least 1
	 * @param blockTokens the assumed number of tokens in a block, at least 1
	 * @return the chain
	 */
	public static PromptChain of(Bytes prompt, int blockBytes, int blockTokens) {
		Preconditions.notNull(prompt, "prompt");
		Preconditions.check(blockBytes >= 1, "blockBytes must be at least 1: %d", blockBytes);
		byte[] content = prompt.toArray();
		long[] hashes = new long[Math.min(content.length / blockBytes, MAX_BLOCKS)];
		long hash = FNV_OFFSET;
		for (int i = 0; i < hashes.length * blockBytes; i++) {
			hash = (hash ^ (content[i] & 0xff)) * FNV_PRIME;
			hashes[i / blockBytes] = hash;
		}
		return of(hashes, blockTokens);
	}

	/**
	 * Returns the number of blocks.
	 * @return the length of the chain
	 */
	public int size() {
		return this.hashes.length;
	}

	/**
	 * Returns the hash of the prefix that ends with a block.
	 * @param block the block's position from 0
	 * @return the hash
	 */
	public long hash(int block) {
		return this.hashes[block];
	}

	/**
	 * Returns the number of tokens in a block.
	 * @return the tokens
	 */
	public int blockTokens() {
		return this.blockTokens;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof PromptChain chain && this.blockTokens == chain.blockTokens
				&& Arrays.equals(this.hashes, chain.hashes);
	}

	@Override
	public int hashCode() {
		return Arrays.hashCode(this.hashes);
	}

	@Override
	public String toString() {
		return "PromptChain[" + this.hashes.length + "]";
	}

}
