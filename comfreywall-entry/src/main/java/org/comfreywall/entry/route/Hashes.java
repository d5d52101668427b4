package org.comfreywall.entry.route;

/**
 * Hash functions with the same results in every process.
 */
final class Hashes {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private Hashes() {
	}

	/**
	 * Computes the FNV-1a hash of the UTF-16 code units of a text, with {@link #mix}
	 * applied.
	 * @param text the text
	 * @return the hash
	 */
	static long hash(String text) {
		long hash = FNV_OFFSET;
		for (int i = 0; i < text.length(); i++) {
			hash = (hash ^ text.charAt(i)) * FNV_PRIME;
		}
		return mix(hash);
	}

	/**
	 * Mixes the bits of a value with one step of SplitMix64.
	 * @param value the value
	 * @return the hash
	 */
	static long mix(long value) {
		long hash = value + 0x9e3779b97f4a7c15L;
		hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
		hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
		return hash ^ (hash >>> 31);
	}

}
