package org.comfreywall.entry.prefix;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * Index of the prompt blocks that backend servers are expected to hold in their prefix
 * caches, each with a probability that decays hyperbolically with age.
 * <p>
 * The size is limited by the number of pairs of a block and a server; the least recently
 * used blocks are evicted first. Not thread-safe.
 */
public final class PrefixIndex {

	private final PrefixSettings settings;

	private final Map<BackendServerId, ServerCacheState> caches = new HashMap<>();

	private final LinkedHashMap<Long, List<BlockLocation>> blocks = new LinkedHashMap<>(16, 0.75f, true);

	private int locationCount;

	private long matches;

	/**
	 * Creates an empty index.
	 * @param settings the settings
	 */
	public PrefixIndex(PrefixSettings settings) {
		this.settings = Preconditions.notNull(settings, "settings");
	}

	/**
	 * Adds an incarnation of a backend server and discards the blocks of earlier ones.
	 * @param server the backend server
	 * @param incarnation the announced incarnation
	 */
	public void addServer(BackendServerId server, Incarnation incarnation) {
		ServerCacheState known = this.caches.get(server);
		if (known == null || known.incarnation().isBefore(incarnation)) {
			removeServer(server);
			this.caches.put(server, new ServerCacheState(server, incarnation));
		}
	}

	/**
	 * Discards the blocks of a backend server.
	 * @param server the backend server
	 */
	public void removeServer(BackendServerId server) {
		Optional.ofNullable(this.caches.remove(server)).ifPresent(ServerCacheState::deactivate);
	}

	/**
	 * Applies a cache event. An event of an unknown server or another incarnation, or one
	 * that is not newer than the last, has no effect.
	 * @param event the event
	 * @param now the present time in nanoseconds
	 * @return the request for a snapshot if events are missing and a request is due,
	 * otherwise empty
	 */
	public Optional<ResyncRequest> onEvent(CacheEvent event, long now) {
		Preconditions.notNull(event, "event");
		ServerCacheState cache = this.caches.get(event.server());
		if (cache == null || !cache.incarnation().equals(event.incarnation())) {
			return Optional.empty();
		}
		apply(event, cache, now);
		return cache.pollResyncDue(now, this.settings.resyncInterval().toNanos())
				? Optional.of(new ResyncRequest(event.server())) : Optional.empty();
	}

	/**
	 * Records that a prompt was sent to a backend server, which is then assumed to hold
	 * its blocks.
	 * @param server the backend server
	 * @param chain the prompt's blocks
	 * @param now the present time in nanoseconds
	 */
	public void recordSentPrompt(BackendServerId server, PromptChain chain, long now) {
		ServerCacheState cache = this.caches.get(server);
		if (cache == null) {
			return;
		}
		for (int i = 0; i < chain.size(); i++) {
			assumeCached(chain.hash(i), cache, now);
		}
		evict();
	}

	/**
	 * Computes the expected number of tokens of a prompt that each backend server holds.
	 * Only an unbroken prefix counts.
	 * @param chain the prompt's blocks
	 * @param now the present time in nanoseconds
	 * @return the expected tokens of each server
	 */
	public PrefixMatch match(PromptChain chain, long now) {
		this.matches++;
		List<ServerCacheState> matched = new ArrayList<>();
		for (int i = 0; i < chain.size(); i++) {
			List<BlockLocation> locations = this.blocks.get(chain.hash(i));
			if (locations == null) {
				break;
			}
			for (BlockLocation location : locations) {
				if (location.cache().isCurrent(location)
						&& location.cache().addToMatch(this.matches, i, probability(location, now))) {
					matched.add(location.cache());
				}
			}
		}
		return matched.isEmpty() ? PrefixMatch.NONE : toMatch(matched, chain.blockTokens());
	}

	/**
	 * Returns the number of pairs of a block and a server.
	 * @return the number, at most {@link PrefixSettings#maxLocations()}
	 */
	public int locationCount() {
		return this.locationCount;
	}

	/**
	 * Returns whether events of a server are missing.
	 * @param server the backend server
	 * @return {@code true} from a gap until a snapshot closes it
	 */
	public boolean hasGap(BackendServerId server) {
		ServerCacheState cache = this.caches.get(server);
		return cache != null && cache.hasGap();
	}

	private static PrefixMatch toMatch(List<ServerCacheState> matched, int blockTokens) {
		Map<BackendServerId, Double> tokens = new HashMap<>(matched.size() * 2);
		matched.forEach((cache) -> tokens.put(cache.server(), cache.expectedBlocks() * blockTokens));
		return new PrefixMatch(tokens);
	}

	private void apply(CacheEvent event, ServerCacheState cache, long now) {
		if (event instanceof BlocksStored stored && cache.acceptEvent(stored.sequence())) {
			store(stored.blocks(), cache, stored.sequence(), now);
		}
		else if (event instanceof BlocksRemoved removed && cache.acceptEvent(removed.sequence())) {
			remove(removed.blocks(), cache);
		}
		else if (event instanceof CacheSnapshot snapshot && cache.acceptSnapshot(snapshot.sequence())) {
			store(snapshot.blocks(), cache, snapshot.sequence(), now);
		}
	}

	private void store(BlockHashes hashes, ServerCacheState cache, long sequence, long now) {
		for (int i = 0; i < hashes.size(); i++) {
			List<BlockLocation> locations = this.blocks.computeIfAbsent(hashes.get(i), (key) -> new ArrayList<>(2));
			addLocation(locations, new BlockLocation(cache, sequence, now));
		}
		evict();
	}

	private void remove(BlockHashes hashes, ServerCacheState cache) {
		for (int i = 0; i < hashes.size(); i++) {
			List<BlockLocation> locations = this.blocks.get(hashes.get(i));
			if (locations != null) {
				removeLocations(locations, cache);
				if (locations.isEmpty()) {
					this.blocks.remove(hashes.get(i));
				}
			}
		}
	}

	private void assumeCached(long hash, ServerCacheState cache, long now) {
		List<BlockLocation> locations = this.blocks.computeIfAbsent(hash, (key) -> new ArrayList<>(2));
		for (int i = 0; i < locations.size(); i++) {
			BlockLocation location = locations.get(i);
			if (location.cache() == cache) {
				locations.set(i, new BlockLocation(cache,
						cache.isCurrent(location) ? location.sequence() : BlockLocation.ASSUMED, now));
				return;
			}
		}
		addLocation(locations, new BlockLocation(cache, BlockLocation.ASSUMED, now));
	}

	private void addLocation(List<BlockLocation> locations, BlockLocation location) {
		removeLocations(locations, location.cache());
		locations.add(location);
		this.locationCount++;
	}

	private void removeLocations(List<BlockLocation> locations, ServerCacheState cache) {
		int before = locations.size();
		locations.removeIf((location) -> location.cache() == cache || !location.cache().isCurrent(location));
		this.locationCount -= before - locations.size();
	}

	private void evict() {
		Iterator<List<BlockLocation>> eldest = this.blocks.values().iterator();
		while (this.locationCount > this.settings.maxLocations() && eldest.hasNext()) {
			this.locationCount -= eldest.next().size();
			eldest.remove();
		}
	}

	private double probability(BlockLocation location, long now) {
		long halfLife = (location.isAssumed() ? this.settings.assumedHalfLife() : this.settings.reportedHalfLife())
			.toNanos();
		double initial = location.isAssumed() ? this.settings.assumedProbability() : 1;
		double gapFactor = location.cache().hasGap() ? this.settings.gapFactor() : 1;
		double age = Math.max(0, now - location.recordedAt());
		return initial * gapFactor * halfLife / (halfLife + age);
	}

}
