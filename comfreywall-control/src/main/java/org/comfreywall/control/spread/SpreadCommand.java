package org.comfreywall.control.spread;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * An output of a {@link SpreadCore}.
 */
public sealed interface SpreadCommand {

	/**
	 * Send a message; it may be lost.
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
	 * this command; control instances only. The command is repeated until it is answered.
	 *
	 * @param token the token to be returned
	 */
	record ReadFloor(long token) implements SpreadCommand {

	}

	/**
	 * The configuration to be used from now on has changed. Not given before the node has
	 * learnt a floor and holds a revision at least as new.
	 *
	 * @param version the version now in force; never older than any given before
	 * @param changes the changed entries
	 * @param whole whether the changes are the whole state and entries not named are gone
	 */
	record ConfigurationInForce(Version version, List<EntryChange> changes, boolean whole) implements SpreadCommand {

		public ConfigurationInForce {
			Preconditions.notNull(version, "version");
			changes = List.copyOf(changes);
		}

	}

	/**
	 * The known members have changed; see {@code MemberView}.
	 *
	 * @param version the version of the members
	 * @param changes the changed entries
	 * @param whole whether the changes are the whole state and entries not named are gone
	 */
	record MembersInForce(Version version, List<EntryChange> changes, boolean whole) implements SpreadCommand {

		public MembersInForce {
			Preconditions.notNull(version, "version");
			changes = List.copyOf(changes);
		}

	}

	/**
	 * The node has learnt its floor; a sidecar's fence takes the order number from it.
	 *
	 * @param floor the floor
	 */
	record FloorLearnt(Floor floor) implements SpreadCommand {

		public FloorLearnt {
			Preconditions.notNull(floor, "floor");
		}

	}

	/**
	 * The leader has heard about members; consumed by the membership core.
	 *
	 * @param reports the reports
	 */
	record Reported(List<MemberReport> reports) implements SpreadCommand {

		public Reported {
			reports = List.copyOf(reports);
		}

	}

	/**
	 * A node has told the leader directly that it is leaving; consumed by the membership
	 * core.
	 *
	 * @param node the node
	 */
	record LeaveReported(NodeDescriptor node) implements SpreadCommand {

		public LeaveReported {
			Preconditions.notNull(node, "node");
		}

	}

	/**
	 * A probe asked for by this node has ended; consumed by the membership core.
	 *
	 * @param prober the node that probed
	 * @param result what it found
	 */
	record Probed(Peer prober, ProbeResult result) implements SpreadCommand {

		public Probed {
			Preconditions.notNull(prober, "prober");
			Preconditions.notNull(result, "result");
		}

	}

}
