package org.comfreywall.bench.routing;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.comfreywall.entry.prefix.BlockHashes;
import org.comfreywall.entry.prefix.PromptChain;

/**
 * A prefix cache of limited size; the block used least recently leaves first, and of one
 * prompt the last block.
 */
final class WorkerCache {

	private final int capacity;

	private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

	private final List<Long> stored = new ArrayList<>();

	private final List<Long> removed = new ArrayList<>();

	WorkerCache(int capacity) {
		this.capacity = capacity;
	}

	int matchedBlocks(PromptChain chain) {
		int matched = 0;
		while (matched < chain.size() && this.blocks.containsKey(chain.hash(matched))) {
			matched++;
		}
		return matched;
	}

	void use(PromptChain chain, int count) {
		for (int i = count - 1; i >= 0; i--) {
			if (this.blocks.put(chain.hash(i), true) == null) {
				this.stored.add(chain.hash(i));
			}
		}
		Iterator<Long> eldest = this.blocks.keySet().iterator();
		while (this.blocks.size() > this.capacity) {
			this.removed.add(eldest.next());
			eldest.remove();
		}
	}

	BlockHashes takeStored() {
		return take(this.stored);
	}

	BlockHashes takeRemoved() {
		return take(this.removed);
	}

	BlockHashes content() {
		return BlockHashes.of(this.blocks.keySet().stream().mapToLong(Long::longValue).toArray());
	}

	private static BlockHashes take(List<Long> hashes) {
		BlockHashes taken = BlockHashes.of(hashes.stream().mapToLong(Long::longValue).toArray());
		hashes.clear();
		return taken;
	}

}
