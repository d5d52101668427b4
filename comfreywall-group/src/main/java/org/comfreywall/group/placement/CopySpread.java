package org.comfreywall.group.placement;

/**
 * The fault isolation required between the copies of an expert.
 */
public enum CopySpread {

	/** An expert may have a single copy, which is lost with its rank. */
	NONE,
	/** Every expert has copies on at least two ranks. */
	RANKS,
	/** Every expert has copies in at least two failure domains. */
	FAILURE_DOMAINS;

	/**
	 * Returns the minimum number of copies of each expert.
	 * @return 1 for {@link #NONE}, otherwise 2
	 */
	public int minimumCopies() {
		return (this == NONE) ? 1 : 2;
	}

}
