package org.comfreywall.group.straggler;

/**
 * The phase of inference that a group runs.
 */
public enum GroupRole {

	/** The group processes prompts and fills the KV cache. */
	PREFILL,
	/** The group generates tokens. */
	DECODE;

	/**
	 * Returns the other role.
	 * @return decode for prefill and the reverse
	 */
	public GroupRole other() {
		return (this == PREFILL) ? DECODE : PREFILL;
	}

}
