package org.comfreywall.common.attempt;

import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * Addresses an attempt to one life of one sidecar.
 * <p>
 * The window is the last one that the entry had learned from the sidecar when it chose
 * the backend server; a sidecar refuses attempts whose window is too old, so that it may
 * forget old attempts safely.
 *
 * @param backendServer the backend server
 * @param incarnation the incarnation of its sidecar
 * @param window the number of the sidecar's window, zero or greater
 */
public record AttemptTarget(BackendServerId backendServer, Incarnation incarnation, long window) {

	public AttemptTarget {
		Preconditions.notNull(backendServer, "backendServer");
		Preconditions.notNull(incarnation, "incarnation");
		Preconditions.check(window >= 0, "window must not be negative: %d", window);
	}

	/**
	 * Returns the identifier that stands for every attempt of a request in a seal.
	 * @param request the request
	 * @return the identifier
	 */
	public static AttemptId everyAttemptOf(RequestId request) {
		return new AttemptId(request, Integer.MAX_VALUE);
	}

	/**
	 * Tells whether both targets name the same life of the same sidecar.
	 * @param other the target to compare with
	 * @return {@code true} if backend server and incarnation are equal
	 */
	public boolean isSameLife(AttemptTarget other) {
		return this.backendServer.equals(other.backendServer) && this.incarnation.equals(other.incarnation);
	}

}
