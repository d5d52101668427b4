package org.comfreywall.control.log;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * A message between control instances.
 *
 * @param from the sender
 * @param fromStorageId the identifier of the sender's data folder
 * @param to the receiver
 * @param term the sender's term
 * @param body the body
 */
public record PeerMessage(InstanceId from, long fromStorageId, InstanceId to, Term term, PeerBody body) {

	public PeerMessage {
		Preconditions.notNull(from, "from");
		Preconditions.notNull(to, "to");
		Preconditions.notNull(term, "term");
		Preconditions.notNull(body, "body");
	}

}
