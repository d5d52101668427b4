package org.comfreywall.daemon.control;

import org.comfreywall.common.id.Revision;
import org.comfreywall.common.util.Preconditions;

/**
 * An accepted configuration in the form in which members receive it.
 *
 * @param revision its revision
 * @param toml the configuration as TOML
 */
record PublishedConfiguration(Revision revision, String toml) {

	/** No configuration was accepted yet. */
	static final PublishedConfiguration NONE = new PublishedConfiguration(Revision.ZERO, "");

	PublishedConfiguration {
		Preconditions.notNull(revision, "revision");
		Preconditions.notNull(toml, "toml");
	}

}
