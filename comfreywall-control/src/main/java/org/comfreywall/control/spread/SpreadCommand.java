package org.comfreywall.control.spread;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * An output of a {@link SpreadCore}.
 */
public sealed interface SpreadCommand {

	/**
	 * Send a message. Delivery is not guaranteed.
	 *
	 * @param to the receiver
	 * @param message the message
	 */
	record Send(Peer to, SpreadMessage message) implements SpreadCommand {

		public Send {
			Preconditions.notNull(to, "to");
			Preconditions.notNull(message, "message");
		}

	}

	/**
	 * Read the floor from the replicated log with a linearizable read that starts after
	 * this command. Issued by control instances only and repeated until a
	 * {@link SpreadEvent.FloorRead} with its token arrives.
	 *
	 * @param token the token that the event returns
	 */
	record ReadFloor(long token) implements SpreadCommand {

	}

	/**
	 * Use a changed configuration. Not issued before a quorum has confirmed a floor and
	 * the configuration has reached it.
	 *
	 * @param version the version now in force; never older than an earlier one
	 * @param changes the changed entries
	 * @param whole whether the changes are the complete state and all other entries are
	 * removed
	 */
	record ConfigurationInForce(Version version, List<EntryChange> changes, boolean whole) implements SpreadCommand {

		public ConfigurationInForce {
			Preconditions.notNull(version, "version");
			changes = List.copyOf(changes);
		}

	}

	/**
	 * Apply changes of the membership; see {@code MemberView}.
	 *
	 * @param version the version of the membership stream
	 * @param changes the changed entries
	 * @param whole whether the changes are the complete state and all other entries are
	 * removed
	 */
	record MembersUpdated(Version version, List<EntryChange> changes, boolean whole) implements SpreadCommand {

		public MembersUpdated {
			Preconditions.notNull(version, "version");
			changes = List.copyOf(changes);
		}

	}

	/**
	 * Use a confirmed floor; a sidecar rejects orders with a lower fencing number.
	 *
	 * @param floor the floor
	 */
	record FloorConfirmed(Floor floor) implements SpreadCommand {

		public FloorConfirmed {
			Preconditions.notNull(floor, "floor");
		}

	}

	/**
	 * Handle reports of members that arrived at the leader; consumed by the membership
	 * core.
	 *
	 * @param reports the reports
	 */
	record ReportsReceived(List<MemberReport> reports) implements SpreadCommand {

		public ReportsReceived {
			reports = List.copyOf(reports);
		}

	}

	/**
	 * Handle a leave notice that arrived at the leader; consumed by the membership core.
	 *
	 * @param node the node
	 */
	record LeaveNoticeReceived(NodeDescriptor node) implements SpreadCommand {

		public LeaveNoticeReceived {
			Preconditions.notNull(node, "node");
		}

	}

	/**
	 * Handle the result of a probe that this node requested; consumed by the membership
	 * core.
	 *
	 * @param prober the node that probed
	 * @param result the result
	 */
	record ProbeCompleted(Peer prober, ProbeResult result) implements SpreadCommand {

		public ProbeCompleted {
			Preconditions.notNull(prober, "prober");
			Preconditions.notNull(result, "result");
		}

	}

}
