package org.comfreywall.control.log;

/**
 * An input of {@link ReplicaCore}.
 */
public sealed interface LogEvent permits TimePassed, MessageReceived, CommandProposed, MembershipProposed,
		ReadRequested, BatchSynced, BatchEnded, SnapshotTaken, TransferRequested, StorageFailed {

}
