package org.comfreywall.control.spread;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * A command that a node of the relay tree returns for its caller to execute.
 */
public sealed interface RelayTreeCommand {

	/**
	 * Sends a message. Delivery is not guaranteed.
	 *
	 * @param to the receiver
	 * @param message the message
	 */
	record Send(Peer to, RelayTreeMessage message) implements RelayTreeCommand {

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
	record ReadFloor(long token) implements RelayTreeCommand {

	}

	/**
	 * Puts a configuration in force. This command is issued only after a quorum has
	 * confirmed the floor and the configuration is at least as new as the floor.
	 *
	 * @param version the version to put in force, never older than an earlier one
	 * @param changes the changed entries
	 * @param replaceAll whether the changes are the complete state, so that all other
	 * entries must be removed
	 */
	record ActivateConfiguration(Version version, List<EntryChange> changes,
			boolean replaceAll) implements RelayTreeCommand {

		public ActivateConfiguration {
			Preconditions.notNull(version, "version");
			changes = List.copyOf(changes);
		}

	}

	/**
	 * Applies changes of the membership stream to the caller's {@code MemberView}.
	 *
	 * @param version the version of the membership stream after the changes
	 * @param changes the changed entries
	 * @param replaceAll whether the changes are the complete state, so that all other
	 * entries must be removed
	 */
	record ApplyMemberChanges(Version version, List<EntryChange> changes,
			boolean replaceAll) implements RelayTreeCommand {

		public ApplyMemberChanges {
			Preconditions.notNull(version, "version");
			changes = List.copyOf(changes);
		}

	}

	/**
	 * Applies a confirmed floor. A sidecar rejects orders with a lower fencing number.
	 *
	 * @param floor the floor
	 */
	record ApplyFloor(Floor floor) implements RelayTreeCommand {

		public ApplyFloor {
			Preconditions.notNull(floor, "floor");
		}

	}

	/**
	 * Handles member reports that the leader has received. The leader's membership core
	 * executes this command.
	 *
	 * @param reports the reports
	 */
	record HandleReports(List<MemberReport> reports) implements RelayTreeCommand {

		public HandleReports {
			reports = List.copyOf(reports);
		}

	}

	/**
	 * Handles a leave notice that the leader has received. The leader's membership core
	 * executes this command.
	 *
	 * @param node the leaving node
	 */
	record HandleLeaveNotice(NodeDescriptor node) implements RelayTreeCommand {

		public HandleLeaveNotice {
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
	record HandleProbeResult(Peer prober, ProbeResult result) implements RelayTreeCommand {

		public HandleProbeResult {
			Preconditions.notNull(prober, "prober");
			Preconditions.notNull(result, "result");
		}

	}

}
