package org.comfreywall.control.spread;

/**
 * A message between two nodes of the relay tree.
 */
public sealed interface SpreadMessage permits Heartbeat, Beat, ParentList, DeltaUpdate, SnapshotUpdate, FloorResponse,
		LeaveNotice, Ping, Pong, ProbeRequest, ProbeResult {

}
