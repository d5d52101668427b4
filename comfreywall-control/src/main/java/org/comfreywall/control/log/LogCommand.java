package org.comfreywall.control.log;

/**
 * An output of the replicated log, to be carried out in order.
 */
public sealed interface LogCommand permits SendMessage, SyncBatch, SaveSnapshot, ApplyEntries, ProposalAccepted,
		ProposalRefused, ReadReady, ReadRefused, RoleChanged {

}
