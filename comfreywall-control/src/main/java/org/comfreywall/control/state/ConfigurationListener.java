package org.comfreywall.control.state;

import org.comfreywall.common.config.Configuration;

/**
 * Receives each configuration change that this instance applies.
 */
@FunctionalInterface
public interface ConfigurationListener {

	/** Ignores all changes. */
	ConfigurationListener NONE = (change, configuration) -> {
	};

	/**
	 * Called on the control node's thread after a change is applied. After a snapshot is
	 * restored it is called once with the newest change in the snapshot, so revisions may
	 * be skipped but never decrease.
	 * @param change the change
	 * @param configuration the configuration after the change
	 */
	void onChange(AcceptedChange change, Configuration configuration);

}
