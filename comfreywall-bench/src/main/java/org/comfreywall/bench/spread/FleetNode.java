package org.comfreywall.bench.spread;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.control.member.MemberView;
import org.comfreywall.control.spread.NodeDescriptor;
import org.comfreywall.control.spread.RelayTreeCore;
import org.comfreywall.control.spread.Version;

/**
 * One node of a fleet, across all its incarnations.
 */
final class FleetNode {

	private final Traffic traffic = new Traffic();

	private NodeDescriptor descriptor;

	private RelayTreeCore core;

	private boolean alive;

	private Version inForce = Version.ZERO;

	private long inForceAt;

	private int storedRevisions;

	private MemberView view = new MemberView();

	FleetNode(NodeDescriptor descriptor) {
		this.descriptor = descriptor;
	}

	InstanceId id() {
		return this.descriptor.id();
	}

	NodeDescriptor descriptor() {
		return this.descriptor;
	}

	RelayTreeCore core() {
		return this.core;
	}

	boolean isAlive() {
		return this.alive;
	}

	void start(NodeDescriptor newDescriptor, RelayTreeCore newCore) {
		this.descriptor = newDescriptor;
		this.core = newCore;
		this.alive = true;
		this.inForce = Version.ZERO;
		this.view = new MemberView();
	}

	void crash() {
		this.alive = false;
	}

	Version inForce() {
		return this.inForce;
	}

	long inForceAt() {
		return this.inForceAt;
	}

	void inForce(Version version, long now) {
		this.inForce = version;
		this.inForceAt = now;
	}

	/**
	 * Returns the number of accepted revisions that a control instance has stored on
	 * disk.
	 * @return the number of revisions
	 */
	int storedRevisions() {
		return this.storedRevisions;
	}

	void storedRevisions(int count) {
		this.storedRevisions = count;
	}

	MemberView view() {
		return this.view;
	}

	Traffic traffic() {
		return this.traffic;
	}

}
