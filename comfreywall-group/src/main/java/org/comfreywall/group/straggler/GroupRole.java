package org.comfreywall.group.straggler;

/**
 * The part of a request that a group runs.
 */
public enum GroupRole {

	/** The group reads prompts and fills the KV cache. */
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
