package org.comfreywall.sidecar.fence;

/**
 * Whether an engine checks the fencing numbers of its orders; a setting of the engine's
 * deployment.
 */
public enum EngineFencing {

	/** The engine refuses older numbers itself, also after a restart of its sidecar. */
	CHECKED_BY_ENGINE,
	/** The engine ignores the numbers; its sidecar refuses older ones. */
	CHECKED_BY_SIDECAR

}
