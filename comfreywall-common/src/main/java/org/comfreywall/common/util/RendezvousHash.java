package org.comfreywall.common.util;

import java.util.Collection;

/**
 * Assigns keys to members without messages: each member computes the hash of the key with
 * every member, and the highest hashes win. Members with the same view agree, and a
 * member that joins or leaves changes only the keys that it wins.
 * <p>
 * Source: D. G. Thaler and C. V. Ravishankar, "Using Name-Based Mappings to Increase Hit
 * Rates", IEEE/ACM Transactions on Networking 6(1), 1998.
 */
public final class RendezvousHash {

	private RendezvousHash() {
	}

	/**
	 * Returns how many members have a higher hash than a given one.
	 * @param key the key
	 * @param member the member
	 * @param all the members; whether they include the given one makes no difference
	 * @return the rank, 0 for the member with the highest hash
	 */
	public static int rank(String key, String member, Collection<String> all) {
		String own = hash(key, member);
		return (int) all.stream().filter((other) -> hash(key, other).compareTo(own) > 0).count();
	}

	private static String hash(String key, String member) {
		return Bytes.ofText(key + "/" + member).sha256();
	}

}
