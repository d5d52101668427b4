package org.comfreywall.common.settings;

/**
 * Parts of a request that a backend server runs.
 */
public enum EngineRole {

	/** Whole requests. */
	MIXED,
	/** Prompts only; the KV cache is handed on. */
	PREFILL,
	/** Generation only, from a KV cache handed over. */
	DECODE

}
