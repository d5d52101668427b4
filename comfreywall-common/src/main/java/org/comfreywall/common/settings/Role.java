package org.comfreywall.common.settings;

/**
 * Roles of an instance.
 */
public enum Role {

	/** Accepts callers' requests. */
	ENTRY,
	/** Runs beside one backend server and forwards requests to it. */
	SIDECAR,
	/** Stores durable state on disk. */
	CONTROL

}
