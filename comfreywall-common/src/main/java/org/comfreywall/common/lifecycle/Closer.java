package org.comfreywall.common.lifecycle;

import java.util.ArrayDeque;
import java.util.Deque;

import org.comfreywall.common.util.Preconditions;

/**
 * Gathers resources and closes them in the reverse order of their registration.
 * <p>
 * Every resource is closed even if closing another one fails; later failures are
 * suppressed under the first.
 */
public final class Closer implements AutoCloseable {

	private final Deque<AutoCloseable> resources = new ArrayDeque<>();

	/**
	 * Registers a resource.
	 * @param <T> the resource's type
	 * @param resource the resource to close
	 * @return the resource
	 */
	public synchronized <T extends AutoCloseable> T register(T resource) {
		Preconditions.notNull(resource, "resource");
		this.resources.push(resource);
		return resource;
	}

	/**
	 * Closes all registered resources; closing again has no effect.
	 * @throws Exception the first failure, with later ones suppressed
	 */
	@Override
	public void close() throws Exception {
		Exception first = null;
		AutoCloseable next = poll();
		while (next != null) {
			try {
				next.close();
			}
			catch (Exception ex) {
				first = collect(first, ex);
			}
			next = poll();
		}
		if (first != null) {
			throw first;
		}
	}

	private synchronized AutoCloseable poll() {
		return this.resources.poll();
	}

	private static Exception collect(Exception first, Exception later) {
		if (first == null) {
			return later;
		}
		first.addSuppressed(later);
		return first;
	}

}
