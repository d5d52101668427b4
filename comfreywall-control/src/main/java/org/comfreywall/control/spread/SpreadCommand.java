package org.comfreywall.control.spread;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * A command that a node of the relay tree returns for its caller to execute.
 */
public sealed interface SpreadCommand {

	/**
	 * Sends a message. Delivery is not guaranteed.
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
	 * Reads the floor from the replicated log with a linearizable read that starts after
	 * this command was issued. Only control instances issue this command. They repeat it
	 * until they receive a {@code FloorRead} event with the same token.
	 *
	 * @param token the token that the event must carry
	 */
	record ReadFloor(long token) implements SpreadCommand {

	}

	/**
	 * Puts a configuration in force. This command is issued only after a quorum has
	 * confirmed the floor and the configuration is at least as new as the floor.
	 *
	 * @param version the version to put in force, never older than an earlier one
	 * @param changes the changed entries
	 * @param whole whether the changes are the complete state, so that all other entries
	 * must be removed
	 */
	record ConfigurationInForce(Version version, List<EntryChange> changes, boolean whole) implements SpreadCommand {

		public ConfigurationInForce {
			Preconditions.notNull(version, "version");
			changes = List.copyOf(changes);
		}

	}

	/**
	 * Applies changes of the membership stream to the caller's {@code MemberView}.
	 *
	 * @param version the version of the membership stream after the changes
	 * @param changes the changed entries
	 * @param whole whether the changes are the complete state, so that all other entries
	 * must be removed
	 */
	record MembersUpdated(Version version, List<EntryChange> changes, boolean whole) implements SpreadCommand {

		public MembersUpdated {
			Preconditions.notNull(version, "version");
			changes = List.copyOf(changes);
		}

	}

	/**
	 * Applies a confirmed floor. A sidecar rejects orders with a lower fencing number.
	 *
	 * @param floor the floor
	 */
	record FloorConfirmed(Floor floor) implements SpreadCommand {

		public FloorConfirmed {
			Preconditions.notNull(floor, "floor");
		}

	}

	/**
	 * Handles member reports that the leader has received. The leader's membership core
	 * executes this command.
	 *
	 * @param reports the reports
	 */
	record ReportsReceived(List<MemberReport> reports) implements SpreadCommand {

		public ReportsReceived {
			reports = List.copyOf(reports);
		}

	}

	/**
	 * Handles a leave notice that the leader has received. The leader's membership core
	 * executes this command.
	 *
	 * @param node the leaving node
	 */
	record LeaveNoticeReceived(NodeDescriptor node) implements SpreadCommand {

		public LeaveNoticeReceived {
			Preconditions.notNull(node, "node");
		}

	}

	/**
	 * Handles the result of a probe that this node requested. The leader's membership
	 * core executes this command.
	 *
	 * @param prober the node that executed the probe
	 * @param result the result of the probe
	 */
	record ProbeCompleted(Peer prober, ProbeResult result) implements SpreadCommand {

		public ProbeCompleted {
			Preconditions.notNull(prober, "prober");
			Preconditions.notNull(result, "result");
		}

	}

}
