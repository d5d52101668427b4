package org.comfreywall.common.config.toml;

/**
 * Kinds of differences between two configurations.
 */
public enum ChangeKind {

	/** Only the new configuration contains the element. */
	ADDED,
	/** Only the old configuration contains the element. */
	REMOVED,
	/** Both configurations contain the element, with different values. */
	CHANGED

}
