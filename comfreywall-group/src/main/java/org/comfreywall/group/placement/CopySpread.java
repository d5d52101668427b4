package org.comfreywall.group.placement;

/**
 * How far the copies of each expert of a group are spread.
 */
public enum CopySpread {

	/** Experts may have a single copy; losing a rank may lose experts. */
	NONE,
	/** Every expert has copies on two ranks at least. */
	RANKS,
	/** Every expert has copies in two failure domains at least. */
	FAILURE_DOMAINS;

	/**
	 * Returns the number of copies that each expert must have.
	 * @return the count
	 */
	public int minimumCopies() {
		return (this == NONE) ? 1 : 2;
	}

}
