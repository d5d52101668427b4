package org.comfreywall.daemon.entry;

import org.comfreywall.common.id.Incarnation;
import org.comfreywall.entry.request.RequestEvent;
import org.comfreywall.transport.generated.Load;

/**
 * Receives the events of a link to a sidecar on the entry's worker.
 */
interface SidecarLinkListener {

	/**
	 * Called when a life of the sidecar was reached for the first time.
	 * @param link the link
	 * @param incarnation the sidecar's life
	 */
	void onReached(SidecarLink link, Incarnation incarnation);

	/**
	 * Called when a life of the sidecar has ended or cannot be reached any more.
	 * @param link the link
	 * @param incarnation the sidecar's life
	 */
	void onLost(SidecarLink link, Incarnation incarnation);

	/**
	 * Called for each event about requests.
	 * @param event the event
	 */
	void onEvent(RequestEvent event);

	/**
	 * Called for each report of the backend server's load.
	 * @param link the link
	 * @param load the report
	 */
	void onLoad(SidecarLink link, Load load);

}
