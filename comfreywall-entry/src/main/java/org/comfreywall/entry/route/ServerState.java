package org.comfreywall.entry.route;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.Incarnation;

/**
 * The state that a router keeps for one incarnation of a backend server.
 */
final class ServerState {

	private final BackendServerId id;

	private final Incarnation incarnation;

	private FailureDomainId domain;

	private ServerProfile profile;

	private final LoadEstimate load;

	private long slowStartFrom;

	private boolean leaving;

	private int consecutiveFailures;

	private int ejectionsSinceSuccess;

	private long ejectedUntil = Long.MIN_VALUE;

	ServerState(ServerAnnounced announced, long now) {
		this.id = announced.server();
		this.incarnation = announced.incarnation();
		this.domain = announced.domain();
		this.profile = announced.profile();
		this.load = new LoadEstimate(announced.profile());
		this.slowStartFrom = now;
	}

	BackendServerId id() {
		return this.id;
	}

	Incarnation incarnation() {
		return this.incarnation;
	}

	FailureDomainId domain() {
		return this.domain;
	}

	ServerProfile profile() {
		return this.profile;
	}

	LoadEstimate load() {
		return this.load;
	}

	void update(ServerAnnounced announced) {
		this.domain = announced.domain();
		this.profile = announced.profile();
		this.load.updateProfile(announced.profile());
	}

	long slowStartFrom() {
		return this.slowStartFrom;
	}

	boolean isLeaving() {
		return this.leaving;
	}

	void markLeaving() {
		this.leaving = true;
	}

	void recordSuccess() {
		this.consecutiveFailures = 0;
		this.ejectionsSinceSuccess = 0;
	}

	int recordFailure() {
		this.consecutiveFailures++;
		return this.consecutiveFailures;
	}

	int ejectionsSinceSuccess() {
		return this.ejectionsSinceSuccess;
	}

	boolean isEjected(long now) {
		return now < this.ejectedUntil;
	}

	long ejectedUntil() {
		return this.ejectedUntil;
	}

	void eject(long until) {
		this.consecutiveFailures = 0;
		this.ejectionsSinceSuccess++;
		this.ejectedUntil = until;
		this.slowStartFrom = until;
	}

	void endEjection(long now) {
		this.ejectedUntil = now;
		this.slowStartFrom = now;
	}

}
