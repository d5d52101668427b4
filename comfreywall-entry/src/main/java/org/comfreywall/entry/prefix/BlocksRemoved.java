package org.comfreywall.entry.prefix;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * Reports that blocks were removed from a backend server's prefix cache.
 *
 * @param server the backend server
 * @param incarnation the server's incarnation
 * @param sequence the sequence number of the event
 * @param blocks the hashes of the removed blocks
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
