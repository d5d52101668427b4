package org.comfreywall.bench.routing;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.comfreywall.entry.prefix.BlockHashes;
import org.comfreywall.entry.prefix.PromptChain;

/**
 * The prefix cache of a simulated backend server: limited in size and with eviction of
 * the least recently used block. Of the blocks of one prompt the last is evicted first,
 * as a block can be reused only if all blocks before it are cached.
 */
final class ServerPrefixCache {

	private final int capacity;

	private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

	private final List<Long> unreportedStored = new ArrayList<>();

	private final List<Long> unreportedRemoved = new ArrayList<>();

	ServerPrefixCache(int capacity) {
		this.capacity = capacity;
	}

	/**
	 * Returns the length of the longest cached prefix of a prompt.
	 * @param chain the blocks of the prompt
	 * @return the number of leading blocks that are cached
	 */
	int countMatchingBlocks(PromptChain chain) {
		int count = 0;
		while (count < chain.size() && this.blocks.containsKey(chain.hash(count))) {
			count++;
		}
		return count;
	}

	/**
	 * Marks the leading blocks of a prompt as used most recently, adds those that are
	 * missing and evicts blocks while the cache exceeds its capacity.
	 * @param chain the blocks of the prompt
	 * @param blockCount the number of leading blocks
	 */
	void storeOrRefresh(PromptChain chain, int blockCount) {
		for (int i = blockCount - 1; i >= 0; i--) {
			if (this.blocks.put(chain.hash(i), true) == null) {
				this.unreportedStored.add(chain.hash(i));
			}
		}
		Iterator<Long> oldest = this.blocks.keySet().iterator();
		while (this.blocks.size() > this.capacity) {
			this.unreportedRemoved.add(oldest.next());
			oldest.remove();
		}
	}

	/**
	 * Returns the blocks that were added since the last call.
	 * @return the hashes of the blocks
	 */
	BlockHashes drainStored() {
		return drain(this.unreportedStored);
	}

	/**
	 * Returns the blocks that were evicted since the last call.
	 * @return the hashes of the blocks
	 */
	BlockHashes drainRemoved() {
		return drain(this.unreportedRemoved);
	}

	BlockHashes blockHashes() {
		return BlockHashes.of(this.blocks.keySet().stream().mapToLong(Long::longValue).toArray());
	}

	private static BlockHashes drain(List<Long> hashes) {
		BlockHashes drained = BlockHashes.of(hashes.stream().mapToLong(Long::longValue).toArray());
		hashes.clear();
		return drained;
	}

}
