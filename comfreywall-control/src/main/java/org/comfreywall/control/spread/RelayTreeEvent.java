package org.comfreywall.control.spread;

import java.util.List;
import java.util.Optional;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * An event that a node of the relay tree handles.
 */
public sealed interface RelayTreeEvent {

	/**
	 * Time has passed. The caller sends this event at the tick interval of the settings.
	 */
	record Tick() implements RelayTreeEvent {

	}

	/**
	 * A message was received.
	 *
	 * @param from the sender
	 * @param message the message
	 */
	record MessageReceived(Peer from, RelayTreeMessage message) implements RelayTreeEvent {

		public MessageReceived {
			Preconditions.notNull(from, "from");
			Preconditions.notNull(message, "message");
		}

	}

	/**
	 * The connection to a peer was lost.
	 *
	 * @param peer the peer
	 */
	record ConnectionLost(InstanceId peer) implements RelayTreeEvent {

		public ConnectionLost {
			Preconditions.notNull(peer, "peer");
		}

	}

	/**
	 * The leader of the replicated log has changed. Only control instances handle this
	 * event.
	 *
	 * @param term the current term
	 * @param leader the leader, or empty if there is none or this instance's leader lease
	 * has expired
	 */
	record LeaderChanged(Term term, Optional<InstanceId> leader) implements RelayTreeEvent {

		public LeaderChanged {
			Preconditions.notNull(term, "term");
			Preconditions.notNull(leader, "leader");
		}

	}

	/**
	 * The replicated log has committed a configuration revision. Only control instances
	 * handle this event.
	 *
	 * @param delta the changes from the previous revision to the committed one
	 */
	record ConfigurationCommitted(Delta delta) implements RelayTreeEvent {

		public ConfigurationCommitted {
			Preconditions.notNull(delta, "delta");
		}

	}

	/**
	 * The configuration was restored from a snapshot of the replicated log. Only control
	 * instances handle this event.
	 *
	 * @param snapshot the committed configuration
	 */
	record ConfigurationRestored(Snapshot snapshot) implements RelayTreeEvent {

		public ConfigurationRestored {
			Preconditions.notNull(snapshot, "snapshot");
		}

	}

	/**
	 * The linearizable read requested by a {@code ReadFloor} command has completed.
	 *
	 * @param token the command's token
	 * @param floor the floor, confirmed by a quorum after the command was issued
	 */
	record FloorRead(long token, Floor floor) implements RelayTreeEvent {

		public FloorRead {
			Preconditions.notNull(floor, "floor");
		}

	}

	/**
	 * The leader's membership core has changed members, which the leader must publish.
	 *
	 * @param changes the changed entries
	 */
	record MembersChanged(List<EntryChange> changes) implements RelayTreeEvent {

		public MembersChanged {
			changes = List.copyOf(changes);
		}

	}

	/**
	 * The node has stopped accepting new work and must announce that it is leaving.
	 */
	record LeaveRequested() implements RelayTreeEvent {

	}

}
