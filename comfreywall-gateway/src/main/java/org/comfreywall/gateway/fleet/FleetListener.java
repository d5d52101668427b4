package org.comfreywall.gateway.fleet;

import java.util.List;
import java.util.Map;

import org.comfreywall.common.toml.HostPort;
import org.comfreywall.control.state.EvacuationOrders;
import org.comfreywall.control.state.VersionedDocument;
import org.comfreywall.gateway.poison.PoisonEvidence;
import org.comfreywall.gateway.pool.GroupState;
import org.comfreywall.gateway.pool.ServerAnnouncement;

/**
 * Receives the updates of a process from its fleet; called on the event loop.
 */
public interface FleetListener {

	/**
	 * Called when a newer version of the document was received.
	 * @param document the document
	 */
	void onDocument(VersionedDocument document);

	/**
	 * Called when a newer version of the orders of evacuation was received.
	 * @param orders the orders
	 */
	void onEvacuations(EvacuationOrders orders);

	/**
	 * Called for each announcement that changes the state kept for a backend server.
	 * @param announcement the announcement
	 */
	void onServerChanged(ServerAnnouncement announcement);

	/**
	 * Called when a backend server was removed because no announcement of it was received
	 * for too long.
	 * @param announcement its last announcement
	 */
	void onServerRemoved(ServerAnnouncement announcement);

	/**
	 * Called when another entry's counts of requests in flight were received.
	 * @param instance the entry's instance
	 * @param requests the number of its requests by backend server
	 */
	void onInFlight(String instance, Map<String, Integer> requests);

	/**
	 * Called when the leader's list of slow backend servers was received.
	 * @param slowdowns the factor by which each takes longer than usual, by address; all
	 * others are healthy
	 */
	void onSlowServers(Map<HostPort, Double> slowdowns);

	/**
	 * Called when the leader's list of groups was received. What an earlier list has told
	 * of other groups and servers still holds.
	 * @param groups the groups that the leader knows, of all services
	 */
	void onGroups(List<GroupState> groups);

	/**
	 * Called when another entry's evidence on crashes of backend servers was received, or
	 * what the fleet has stored.
	 * @param evidence the evidence
	 */
	void onPoisonEvidence(PoisonEvidence evidence);

	/**
	 * Returns this entry's evidence on crashes of backend servers.
	 * @param full whether to include evidence that was returned before
	 * @return the evidence
	 */
	PoisonEvidence poisonEvidence(boolean full);

	/**
	 * Returns this entry's observations on crashes that the fleet has yet to store. They
	 * are returned again only if {@link #onPoisonEvidenceProposed} tells so.
	 * @return the evidence
	 */
	PoisonEvidence takeUnstoredPoisonEvidence();

	/**
	 * Returns whether this entry refuses requests until the end of a probation.
	 * @return {@code true} if the time until then must outlast this process
	 */
	boolean isPoisonProbationRunning();

	/**
	 * Called after observations of this entry were proposed to the fleet.
	 * @param taken what {@link #takeUnstoredPoisonEvidence} has returned
	 * @param stored {@code false} if they may not have been stored and are to be returned
	 * again
	 */
	void onPoisonEvidenceProposed(PoisonEvidence taken, boolean stored);

	/**
	 * Returns this entry's counts of requests in flight.
	 * @return the number of its requests by backend server
	 */
	Map<String, Integer> inFlight();

}
