package org.comfreywall.sidecar.fence;

/**
 * Which process checks the fencing numbers of an engine's orders; configured per engine
 * deployment.
 */
public enum EngineFencing {

	/** The engine rejects older numbers itself, also after a restart of its sidecar. */
	CHECKED_BY_ENGINE,
	/** The engine ignores the numbers; its sidecar rejects older ones. */
	CHECKED_BY_SIDECAR

}
