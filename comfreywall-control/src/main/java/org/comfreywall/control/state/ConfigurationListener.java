package org.comfreywall.control.state;

import org.comfreywall.common.config.Configuration;

/**
 * Learns of each change on the instance on which it is applied.
 */
@FunctionalInterface
public interface ConfigurationListener {

	/** Ignores all changes. */
	ConfigurationListener NONE = (change, configuration) -> {
	};

	/**
	 * Called on the control node's thread after a change was applied. After a snapshot
	 * was restored it is called with the newest change in the snapshot, so revisions may
	 * be skipped but never decrease.
	 * @param change the change
	 * @param configuration the configuration after it
	 */
	void onChange(AcceptedChange change, Configuration configuration);

}
