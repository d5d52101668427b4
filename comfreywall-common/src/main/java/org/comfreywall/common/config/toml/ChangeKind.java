package org.comfreywall.common.config.toml;

/**
 * Kinds of differences between two configurations.
 */
public enum ChangeKind {

	/** Only the new configuration has it. */
	ADDED,
	/** Only the old configuration has it. */
	REMOVED,
	/** Both have it, with different values. */
	CHANGED

}
