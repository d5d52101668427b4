package org.comfreywall.common.settings;

/**
 * Roles that an instance can hold.
 */
public enum Role {

	/** Takes callers' requests. */
	ENTRY,
	/** Runs beside one backend server. */
	SIDECAR,
	/** Keeps durable state on disk. */
	CONTROL

}
