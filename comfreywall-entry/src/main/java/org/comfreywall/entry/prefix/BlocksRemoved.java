package org.comfreywall.entry.prefix;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * Blocks that left a backend server's prefix cache.
 *
 * @param server the backend server
 * @param incarnation the server's life
 * @param sequence the number of the event
 * @param blocks the block hashes removed
 */
public record BlocksRemoved(BackendServerId server, Incarnation incarnation, long sequence,
		BlockHashes blocks) implements CacheEvent {

	public BlocksRemoved {
		Preconditions.notNull(server, "server");
		Preconditions.notNull(incarnation, "incarnation");
		Preconditions.notNull(blocks, "blocks");
		Preconditions.check(sequence >= 0, "sequence must not be negative: %d", sequence);
	}

}
