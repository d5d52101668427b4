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
 * Remembers which backend servers hold which prompt blocks, each with a probability that
 * decays with age.
 * <p>
 * The memory is bounded by the number of claims, pairs of a block and a server; the block
 * used least recently is forgotten first. Not safe for use by several threads.
 */
public final class PrefixIndex {

	private final PrefixSettings settings;

	private final Map<BackendServerId, ServerCache> caches = new HashMap<>();

	private final LinkedHashMap<Long, List<Claim>> blocks = new LinkedHashMap<>(16, 0.75f, true);

	private int claims;

	private long matches;

	/**
	 * Creates an empty index.
	 * @param settings the settings
	 */
	public PrefixIndex(PrefixSettings settings) {
		this.settings = Preconditions.notNull(settings, "settings");
	}

	/**
	 * Starts to follow one life of a backend server and forgets its earlier lives.
	 * @param server the backend server
	 * @param incarnation the life that was announced
	 */
	public void serverAnnounced(BackendServerId server, Incarnation incarnation) {
		ServerCache known = this.caches.get(server);
		if (known == null || known.incarnation().isBefore(incarnation)) {
			serverRemoved(server);
			this.caches.put(server, new ServerCache(server, incarnation));
		}
	}

	/**
	 * Forgets what a backend server holds.
	 * @param server the backend server
	 */
	public void serverRemoved(BackendServerId server) {
		Optional.ofNullable(this.caches.remove(server)).ifPresent(ServerCache::retire);
	}

	/**
	 * Takes in a cache event; one of an unknown server or another life, or an old or
	 * doubled one, has no effect.
	 * @param event the event
	 * @param now the present time in nanoseconds
	 * @return the request for a snapshot that has become due, or empty
	 */
	public Optional<ResyncRequest> onEvent(CacheEvent event, long now) {
		Preconditions.notNull(event, "event");
		ServerCache cache = this.caches.get(event.server());
		if (cache == null || !cache.incarnation().equals(event.incarnation())) {
			return Optional.empty();
		}
		apply(event, cache, now);
		return cache.askResync(now, this.settings.resyncInterval().toNanos())
				? Optional.of(new ResyncRequest(event.server())) : Optional.empty();
	}

	/**
	 * Assumes that a backend server will hold the blocks of a prompt that was sent to it.
	 * @param server the backend server
	 * @param chain the prompt's blocks
	 * @param now the present time in nanoseconds
	 */
	public void promptSent(BackendServerId server, PromptChain chain, long now) {
		ServerCache cache = this.caches.get(server);
		if (cache == null) {
			return;
		}
		for (int i = 0; i < chain.size(); i++) {
			assume(chain.hash(i), cache, now);
		}
		evict();
	}

	/**
	 * Computes how much of a prompt each backend server is expected to hold.
	 * @param chain the prompt's blocks
	 * @param now the present time in nanoseconds
	 * @return the expected tokens for each server
	 */
	public PrefixMatch match(PromptChain chain, long now) {
		this.matches++;
		List<ServerCache> found = new ArrayList<>();
		for (int i = 0; i < chain.size(); i++) {
			List<Claim> held = this.blocks.get(chain.hash(i));
			if (held == null) {
				break;
			}
			for (Claim claim : held) {
				if (claim.cache().covers(claim) && claim.cache().matchBlock(this.matches, i, probability(claim, now))) {
					found.add(claim.cache());
				}
			}
		}
		return found.isEmpty() ? PrefixMatch.NONE : toMatch(found, chain.blockTokens());
	}

	/**
	 * Returns the number of claims remembered.
	 * @return the claims, at most {@link PrefixSettings#maxClaims()}
	 */
	public int claims() {
		return this.claims;
	}

	/**
	 * Tells whether events of a server are missing.
	 * @param server the backend server
	 * @return {@code true} from a gap until a snapshot closes it
	 */
	public boolean hasGap(BackendServerId server) {
		ServerCache cache = this.caches.get(server);
		return cache != null && cache.hasGap();
	}

	private static PrefixMatch toMatch(List<ServerCache> found, int blockTokens) {
		Map<BackendServerId, Double> tokens = new HashMap<>(found.size() * 2);
		found.forEach((cache) -> tokens.put(cache.server(), cache.expectedBlocks() * blockTokens));
		return new PrefixMatch(tokens);
	}

	private void apply(CacheEvent event, ServerCache cache, long now) {
		if (event instanceof BlocksStored stored && cache.advance(stored.sequence())) {
			store(stored.blocks(), cache, stored.sequence(), now);
		}
		else if (event instanceof BlocksRemoved removed && cache.advance(removed.sequence())) {
			remove(removed.blocks(), cache);
		}
		else if (event instanceof CacheSnapshot snapshot && cache.advanceToSnapshot(snapshot.sequence())) {
			store(snapshot.blocks(), cache, snapshot.sequence(), now);
		}
	}

	private void store(BlockHashes hashes, ServerCache cache, long sequence, long now) {
		for (int i = 0; i < hashes.size(); i++) {
			List<Claim> held = this.blocks.computeIfAbsent(hashes.get(i), (key) -> new ArrayList<>(2));
			put(held, new Claim(cache, sequence, now));
		}
		evict();
	}

	private void remove(BlockHashes hashes, ServerCache cache) {
		for (int i = 0; i < hashes.size(); i++) {
			List<Claim> held = this.blocks.get(hashes.get(i));
			if (held != null) {
				drop(held, cache);
				if (held.isEmpty()) {
					this.blocks.remove(hashes.get(i));
				}
			}
		}
	}

	private void assume(long hash, ServerCache cache, long now) {
		List<Claim> held = this.blocks.computeIfAbsent(hash, (key) -> new ArrayList<>(2));
		for (int i = 0; i < held.size(); i++) {
			Claim claim = held.get(i);
			if (claim.cache() == cache) {
				held.set(i, new Claim(cache, cache.covers(claim) ? claim.sequence() : Claim.ASSUMED, now));
				return;
			}
		}
		put(held, new Claim(cache, Claim.ASSUMED, now));
	}

	private void put(List<Claim> held, Claim claim) {
		drop(held, claim.cache());
		held.add(claim);
		this.claims++;
	}

	private void drop(List<Claim> held, ServerCache cache) {
		int before = held.size();
		held.removeIf((claim) -> claim.cache() == cache || !claim.cache().covers(claim));
		this.claims -= before - held.size();
	}

	private void evict() {
		Iterator<List<Claim>> eldest = this.blocks.values().iterator();
		while (this.claims > this.settings.maxClaims() && eldest.hasNext()) {
			this.claims -= eldest.next().size();
			eldest.remove();
		}
	}

	private double probability(Claim claim, long now) {
		long halfLife = (claim.isAssumed() ? this.settings.assumedHalfLife() : this.settings.reportedHalfLife())
			.toNanos();
		double first = claim.isAssumed() ? this.settings.assumedProbability() : 1;
		double trust = claim.cache().hasGap() ? this.settings.gapTrust() : 1;
		double age = Math.max(0, now - claim.learnedAt());
		return first * trust * halfLife / (halfLife + age);
	}

}
