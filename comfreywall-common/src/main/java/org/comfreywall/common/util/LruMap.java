package org.comfreywall.common.util;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that evicts the least recently used entry when it exceeds its maximum size.
 *
 * @param <K> the type of the keys
 * @param <V> the type of the values
 */
public final class LruMap<K, V> extends LinkedHashMap<K, V> {

	private static final long serialVersionUID = 1L;

	private final int maxEntries;

	/**
	 * Creates an empty map.
	 * @param maxEntries the maximum number of entries
	 */
	public LruMap(int maxEntries) {
		super(16, 0.75f, true);
		this.maxEntries = maxEntries;
	}

	@Override
	protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
		return size() > this.maxEntries;
	}

}
