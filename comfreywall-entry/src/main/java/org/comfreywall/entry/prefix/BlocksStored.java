package org.comfreywall.entry.prefix;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * Reports that blocks were stored in a backend server's prefix cache.
 *
 * @param server the backend server
 * @param incarnation the server's incarnation
 * @param sequence the sequence number of the event
 * @param blocks the hashes of the stored blocks
 */
public record BlocksStored(BackendServerId server, Incarnation incarnation, long sequence,
		BlockHashes blocks) implements CacheEvent {

	public BlocksStored {
		Preconditions.notNull(server, "server");
		Preconditions.notNull(incarnation, "incarnation");
		Preconditions.notNull(blocks, "blocks");
		Preconditions.check(sequence >= 0, "sequence must not be negative: %d", sequence);
	}

}
