package org.comfreywall.gateway.http;

import org.comfreywall.common.util.Preconditions;

/**
 * Limits on what all callers of one entry may use together.
 *
 * @param maxBytes the memory in bytes that is held for callers: requests in hand, bytes
 * of requests that are being read, and responses that callers have not read; at least 1
 * @param maxConnections the most connections from callers, at least 1
 */
public record CallerLimits(long maxBytes, int maxConnections) {

	/**
	 * The heap is this many times as large as what callers may take: bodies are copied
	 * once while they are read in chunks, and the rest of the process needs the other
	 * half.
	 */
	private static final int HEAP_PER_CALLERS = 4;

	/**
	 * Unread responses are direct memory, beside the buffers of the connections to
	 * backend servers and other processes.
	 */
	private static final int DIRECT_PER_CALLERS = 2;

	/**
	 * Direct memory of one connection whose headers are incomplete: a read buffer of 16
	 * KiB and its growth.
	 */
	private static final int CONNECTION_BYTES = 24 << 10;

	/** Share of the descriptors that stays reserved, as on the users' machines. */
	private static final int RESERVED_SHARE = 20;

	/**
	 * Descriptors of the process itself: its files, listening sockets and connections to
	 * 16 other entries.
	 */
	private static final int OWN_FILES = 100;

	/** Each caller may need a connection to a backend server. */
	private static final int FILES_PER_CALLER = 2;

	private static final int MIN_CONNECTIONS = 16;

	public CallerLimits {
		Preconditions.check(maxBytes >= 1, "maxBytes must be at least 1: %d", maxBytes);
		Preconditions.check(maxConnections >= 1, "maxConnections must be at least 1: %d", maxConnections);
	}

	/**
	 * Derives the limits from what a process may use.
	 * @param heapBytes the largest size of the heap in bytes
	 * @param directBytes the most direct memory in bytes
	 * @param maxFiles the most open descriptors
	 * @return the limits
	 */
	public static CallerLimits of(long heapBytes, long directBytes, long maxFiles) {
		long bytes = Math.max(1, Math.min(heapBytes / HEAP_PER_CALLERS, directBytes / DIRECT_PER_CALLERS));
		long byFiles = (maxFiles - maxFiles / RESERVED_SHARE - OWN_FILES) / FILES_PER_CALLER;
		long connections = Math.max(MIN_CONNECTIONS, Math.min(byFiles, directBytes / CONNECTION_BYTES));
		return new CallerLimits(bytes, (int) Math.min(Integer.MAX_VALUE, connections));
	}

}
