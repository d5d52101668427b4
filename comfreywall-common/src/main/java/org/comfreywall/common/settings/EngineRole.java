package org.comfreywall.common.settings;

/**
 * The phases of inference that a backend server runs.
 */
public enum EngineRole {

	/** Prefill and decode. */
	MIXED,
	/** Prefill only; the KV cache is transferred to a decode server. */
	PREFILL,
	/** Decode only, from a KV cache received from a prefill server. */
	DECODE

}
