package org.comfreywall.control.log;

/**
 * An output of {@link ReplicaCore}, which the driver executes in order.
 */
public sealed interface LogCommand permits SendMessage, SyncBatch, SaveSnapshot, ApplyEntries, ProposalAccepted,
		ProposalRefused, ReadReady, ReadRefused, RoleChanged {

}
