package org.comfreywall.control.spread;

/**
 * A message between nodes of the tree.
 */
public sealed interface SpreadMessage permits Heartbeat, Beat, ParentList, DeltaUpdate, SnapshotUpdate, FloorResponse,
		LeaveNotice, Ping, Pong, ProbeRequest, ProbeResult {

}
