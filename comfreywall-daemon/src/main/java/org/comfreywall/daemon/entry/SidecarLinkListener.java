package org.comfreywall.daemon.entry;

import org.comfreywall.common.id.Incarnation;
import org.comfreywall.entry.request.RequestEvent;
import org.comfreywall.transport.generated.Load;

/**
 * Receives the events of a link to a sidecar on the entry's worker thread.
 */
interface SidecarLinkListener {

	/**
	 * Called when the link is connected to an incarnation of the sidecar for the first
	 * time.
	 * @param link the link
	 * @param incarnation the sidecar's incarnation
	 */
	void onFirstConnected(SidecarLink link, Incarnation incarnation);

	/**
	 * Called when an incarnation of the sidecar was replaced by a newer one or stayed
	 * disconnected for too long.
	 * @param link the link
	 * @param incarnation the sidecar's incarnation
	 */
	void onLost(SidecarLink link, Incarnation incarnation);

	/**
	 * Called for each event that concerns requests.
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
