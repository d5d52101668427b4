package org.comfreywall.daemon.control;

import org.comfreywall.common.id.Revision;
import org.comfreywall.common.util.Preconditions;

/**
 * The latest accepted configuration, serialized for heartbeat replies.
 *
 * @param revision the revision of the configuration
 * @param toml the configuration as TOML
 */
record PublishedConfiguration(Revision revision, String toml) {

	/** The state before the first configuration is accepted. */
	static final PublishedConfiguration NONE = new PublishedConfiguration(Revision.ZERO, "");

	PublishedConfiguration {
		Preconditions.notNull(revision, "revision");
		Preconditions.notNull(toml, "toml");
	}

}
