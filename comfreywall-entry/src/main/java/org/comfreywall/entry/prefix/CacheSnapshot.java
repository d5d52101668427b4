package org.comfreywall.entry.prefix;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * The complete content of a backend server's prefix cache after an event.
 *
 * @param server the backend server
 * @param incarnation the server's incarnation
 * @param sequence the sequence number of the last event that the snapshot includes
 * @param blocks the hashes of all cached blocks
 */
public record CacheSnapshot(BackendServerId server, Incarnation incarnation, long sequence,
		BlockHashes blocks) implements CacheEvent {

	public CacheSnapshot {
		Preconditions.notNull(server, "server");
		Preconditions.notNull(incarnation, "incarnation");
		Preconditions.notNull(blocks, "blocks");
		Preconditions.check(sequence >= 0, "sequence must not be negative: %d", sequence);
	}

}
