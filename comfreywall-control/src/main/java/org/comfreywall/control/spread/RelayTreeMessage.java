package org.comfreywall.control.spread;

/**
 * A message between two nodes of the relay tree.
 */
public sealed interface RelayTreeMessage permits ChildHeartbeat, ParentHeartbeat, ParentCandidates, DeltaUpdate,
		SnapshotUpdate, FloorResponse, LeaveNotice, Ping, Pong, ProbeRequest, ProbeResult {

}
