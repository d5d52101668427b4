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

	private int failures;

	private int ejections;

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
		this.load.update(announced.profile());
	}

	long slowStartFrom() {
		return this.slowStartFrom;
	}

	boolean isLeaving() {
		return this.leaving;
	}

	void leave() {
		this.leaving = true;
	}

	void succeed() {
		this.failures = 0;
		this.ejections = 0;
	}

	int fail() {
		this.failures++;
		return this.failures;
	}

	int ejections() {
		return this.ejections;
	}

	boolean isEjected(long now) {
		return now < this.ejectedUntil;
	}

	long ejectedUntil() {
		return this.ejectedUntil;
	}

	void eject(long until) {
		this.failures = 0;
		this.ejections++;
		this.ejectedUntil = until;
		this.slowStartFrom = until;
	}

	void release(long now) {
		this.ejectedUntil = now;
		this.slowStartFrom = now;
	}

}
