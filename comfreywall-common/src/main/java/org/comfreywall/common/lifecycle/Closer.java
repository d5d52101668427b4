package org.comfreywall.common.lifecycle;

import java.util.ArrayDeque;
import java.util.Deque;

import org.comfreywall.common.util.Preconditions;

/**
 * Closes registered resources in the reverse order of their registration.
 * <p>
 * All resources are closed even if closing some of them fails. The first exception is
 * thrown, with the later ones as suppressed exceptions.
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
	 * Closes all registered resources. Closing again has no effect.
	 * @throws Exception the first exception, with later ones as suppressed exceptions
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
				first = addSuppressed(first, ex);
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

	private static Exception addSuppressed(Exception first, Exception later) {
		if (first == null) {
			return later;
		}
		first.addSuppressed(later);
		return first;
	}

}
