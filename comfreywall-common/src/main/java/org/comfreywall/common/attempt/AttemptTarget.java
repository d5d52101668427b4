package org.comfreywall.common.attempt;

import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * The backend server and the incarnation of its sidecar to which an attempt is addressed.
 * <p>
 * The window is the newest one that the entry instance had received from the sidecar when
 * it chose the backend server. The sidecar rejects attempts with older windows than it
 * retains, so that it can discard the records of old attempts: a late copy of a discarded
 * attempt is rejected rather than run again.
 *
 * @param backendServer the backend server
 * @param incarnation the incarnation of its sidecar
 * @param window the window number, zero or greater
 */
public record AttemptTarget(BackendServerId backendServer, Incarnation incarnation, long window) {

	public AttemptTarget {
		Preconditions.notNull(backendServer, "backendServer");
		Preconditions.notNull(incarnation, "incarnation");
		Preconditions.check(window >= 0, "window must not be negative: %d", window);
	}

	/**
	 * Returns the identifier that covers all attempts of a request when it is sealed.
	 * @param request the request
	 * @return the identifier
	 */
	public static AttemptId everyAttemptOf(RequestId request) {
		return new AttemptId(request, Integer.MAX_VALUE);
	}

	/**
	 * Returns whether both targets have the same sidecar and incarnation.
	 * @param other the target to compare with
	 * @return {@code true} if backend server and incarnation are equal
	 */
	public boolean hasSameIncarnation(AttemptTarget other) {
		return this.backendServer.equals(other.backendServer) && this.incarnation.equals(other.incarnation);
	}

}
