package org.comfreywall.control.spread;

/**
 * A message between nodes of the tree.
 */
public sealed interface SpreadMessage permits Heartbeat, Beat, Parents, DeltaUpdate, SnapshotUpdate, FloorAnswer,
		LeaveNotice, Ping, Pong, ProbeRequest, ProbeResult {

}
