package org.comfreywall.control.spread;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.comfreywall.common.util.Bytes;

/**
 * A node's replica of one stream: the entries, the position and the last
 * {@value #MAX_HISTORY} deltas. The digest is a sum of entry hashes and therefore does
 * not depend on the order of changes.
 */
final class StreamReplica {

	/** The maximum number of deltas retained for children that lag behind. */
	static final int MAX_HISTORY = 256;

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private final Map<String, Bytes> entries = new HashMap<>();

	private final Deque<Delta> recentDeltas = new ArrayDeque<>();

	private StreamPosition position = StreamPosition.ZERO;

	StreamPosition position() {
		return this.position;
	}

	Version version() {
		return this.position.version();
	}

	Map<String, Bytes> entries() {
		return this.entries;
	}

	boolean isNext(Delta delta) {
		return delta.from().equals(version());
	}

	void apply(Delta delta) {
		long digest = this.position.digest();
		for (EntryChange change : delta.changes()) {
			Bytes previous = change.value().isPresent() ? this.entries.put(change.key(), change.value().get())
					: this.entries.remove(change.key());
			digest -= (previous != null) ? hash(change.key(), previous) : 0;
			digest += change.value().map((value) -> hash(change.key(), value)).orElse(0L);
		}
		this.position = new StreamPosition(delta.to(), digest);
		this.recentDeltas.addLast(delta);
		if (this.recentDeltas.size() > MAX_HISTORY) {
			this.recentDeltas.removeFirst();
		}
	}

	void install(Snapshot snapshot) {
		this.entries.clear();
		this.entries.putAll(snapshot.entries());
		this.recentDeltas.clear();
		long digest = 0;
		for (Map.Entry<String, Bytes> entry : this.entries.entrySet()) {
			digest += hash(entry.getKey(), entry.getValue());
		}
		this.position = new StreamPosition(snapshot.version(), digest);
	}

	/**
	 * Returns the deltas that lead from an earlier version to the current one.
	 * @param version the earlier version
	 * @return the deltas, oldest first, or empty if they are not retained
	 */
	Optional<List<Delta>> deltasSince(Version version) {
		List<Delta> deltas = new ArrayList<>();
		boolean found = false;
		for (Delta delta : this.recentDeltas) {
			found = found || delta.from().equals(version);
			if (found) {
				deltas.add(delta);
			}
		}
		return found ? Optional.of(deltas) : Optional.empty();
	}

	Snapshot snapshot() {
		return new Snapshot(version(), this.entries);
	}

	List<EntryChange> asChanges() {
		List<EntryChange> changes = new ArrayList<>(this.entries.size());
		this.entries.forEach((key, value) -> changes.add(EntryChange.set(key, value)));
		return changes;
	}

	private static long hash(String key, Bytes value) {
		long hash = hash(FNV_OFFSET, key.getBytes(StandardCharsets.UTF_8));
		return hash(hash, value.toArray());
	}

	private static long hash(long start, byte[] content) {
		long hash = start;
		for (byte b : content) {
			hash = (hash ^ (b & 0xff)) * FNV_PRIME;
		}
		return hash ^ (hash >>> 29);
	}

}
