package org.comfreywall.control.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Bytes;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RelayTreeNode}.
 */
class RelayTreeNodeTests {

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private final NodeDescriptor control = Nodes.CONTROL;

	private final Peer controlPeer = Peer.of(this.control);

	private final RelayTreeNode node = create(Nodes.node("entry-1", NodeRole.ENTRY, "d1"));

	private long now = SECOND;

	private static RelayTreeNode create(NodeDescriptor self) {
		return new RelayTreeNode(self, List.of(Nodes.CONTROL), RelayTreeSettings.DEFAULTS, (entries) -> List.of(),
				new Random(1), DecisionListener.NONE);
	}

	private static Delta delta(long term, long number) {
		return new Delta(Version.of((number == 1) ? 0 : term, number - 1), Version.of(term, number),
				List.of(EntryChange.set("key", Bytes.ofText("value-" + number))));
	}

	private static ParentHeartbeat parentHeartbeat(long term, long sequence) {
		return new ParentHeartbeat(Term.of(term), sequence, StreamPosition.ZERO, StreamPosition.ZERO, Long.MAX_VALUE);
	}

	private static ChildHeartbeat childHeartbeat(NodeDescriptor from, long floorNonce) {
		return new ChildHeartbeat(from, false, false, false, StreamPosition.ZERO, StreamPosition.ZERO, floorNonce,
				new RevisionCoverage(1, 0, 0, List.of()), 1, 1, 1, List.of());
	}

	private List<RelayTreeCommand> receive(RelayTreeMessage message) {
		return this.node.on(new RelayTreeEvent.MessageReceived(this.controlPeer, message), this.now);
	}

	private ChildHeartbeat attach() {
		List<RelayTreeCommand> commands = this.node.on(new RelayTreeEvent.Tick(), this.now);
		receive(parentHeartbeat(1, 1));
		return Nodes.sentMessages(commands, ChildHeartbeat.class).get(0);
	}

	private void confirmFloor(long number) {
		long nonce = attach().floorNonce();
		receive(new FloorResponse(nonce, new Floor(Version.of(Math.min(number, 1), number), FencingNumber.ZERO)));
	}

	private static List<Version> versionsInForce(List<RelayTreeCommand> commands) {
		return Nodes.commands(commands, RelayTreeCommand.ActivateConfiguration.class)
			.stream()
			.map(RelayTreeCommand.ActivateConfiguration::version)
			.toList();
	}

	@Nested
	class Configuration {

		@Test
		void isNotActivatedBeforeTheFloorIsConfirmed() {
			attach();
			List<RelayTreeCommand> commands = receive(
					new DeltaUpdate(StreamId.CONFIGURATION, Term.of(1), List.of(delta(1, 1))));
			assertThat(versionsInForce(commands)).isEmpty();
		}

		@Test
		void isNotActivatedBelowTheFloor() {
			confirmFloor(2);
			assertThat(
					versionsInForce(receive(new DeltaUpdate(StreamId.CONFIGURATION, Term.of(1), List.of(delta(1, 1))))))
				.isEmpty();
			assertThat(
					versionsInForce(receive(new DeltaUpdate(StreamId.CONFIGURATION, Term.of(1), List.of(delta(1, 2))))))
				.containsExactly(Version.of(1, 2));
		}

		@Test
		void ignoresFloorOfAnotherRequest() {
			long nonce = attach().floorNonce();
			receive(new FloorResponse(nonce + 1, new Floor(Version.ZERO, FencingNumber.ZERO)));
			receive(new DeltaUpdate(StreamId.CONFIGURATION, Term.of(1), List.of(delta(1, 1))));
			assertThat(RelayTreeNodeTests.this.node.versionInForce()).isEmpty();
		}

		@Test
		void ignoresOlderSnapshot() {
			confirmFloor(0);
			receive(new DeltaUpdate(StreamId.CONFIGURATION, Term.of(1), List.of(delta(1, 1), delta(1, 2))));
			receive(new SnapshotUpdate(StreamId.CONFIGURATION, Term.of(1), new Snapshot(Version.of(1, 1), Map.of())));
			assertThat(RelayTreeNodeTests.this.node.versionInForce()).contains(Version.of(1, 2));
		}

		@Test
		void rejectsUpdateOfLeaderWithOlderTerm() {
			confirmFloor(0);
			receive(parentHeartbeat(5, 1));
			receive(new DeltaUpdate(StreamId.CONFIGURATION, Term.of(4), List.of(delta(4, 1))));
			assertThat(RelayTreeNodeTests.this.node.versionInForce()).contains(Version.ZERO);
		}

		@Test
		void requestsResendWhenAnUpdateIsMissing() {
			confirmFloor(0);
			RelayTreeNodeTests.this.now += SECOND;
			List<RelayTreeCommand> commands = receive(
					new DeltaUpdate(StreamId.CONFIGURATION, Term.of(1), List.of(delta(1, 2))));
			assertThat(Nodes.sentMessages(commands, ChildHeartbeat.class)).anyMatch(ChildHeartbeat::resendRequested);
		}

		@Test
		void installsSnapshotOfTheSameVersionWhenTheDigestDiffers() {
			confirmFloor(0);
			receive(new DeltaUpdate(StreamId.CONFIGURATION, Term.of(1), List.of(delta(1, 1))));
			receive(new ParentHeartbeat(Term.of(1), 2, new StreamPosition(Version.of(1, 1), 42), StreamPosition.ZERO,
					Long.MAX_VALUE));
			List<RelayTreeCommand> commands = receive(new SnapshotUpdate(StreamId.CONFIGURATION, Term.of(1),
					new Snapshot(Version.of(1, 1), Map.of("key", Bytes.ofText("right")))));
			assertThat(versionsInForce(commands)).containsExactly(Version.of(1, 1));
		}

	}

	@Nested
	class ParentSelection {

		@Test
		void attachesToAControlInstanceFirst() {
			assertThat(attach().node().id().value()).isEqualTo("entry-1");
			assertThat(RelayTreeNodeTests.this.node.parent()).contains(RelayTreeNodeTests.this.control.id());
		}

		@Test
		void followsARedirect() {
			attach();
			NodeDescriptor relay = Nodes.node("entry-2", NodeRole.ENTRY, "d1");
			receive(new ParentCandidates(List.of(relay), 1, false));
			assertThat(RelayTreeNodeTests.this.node.parent()).contains(relay.id());
		}

		@Test
		void replacesAParentWhoseHeartbeatsStop() {
			attach();
			NodeDescriptor relay = Nodes.node("entry-2", NodeRole.ENTRY, "d1");
			receive(new ParentCandidates(List.of(RelayTreeNodeTests.this.control, relay), 2, true));
			RelayTreeNodeTests.this.now += 2 * SECOND;
			RelayTreeNodeTests.this.node.on(new RelayTreeEvent.Tick(), RelayTreeNodeTests.this.now);
			assertThat(RelayTreeNodeTests.this.node.parent()).contains(relay.id());
		}

		@Test
		void replacesAParentWithoutNewRootHeartbeats() {
			attach();
			NodeDescriptor relay = Nodes.node("entry-2", NodeRole.ENTRY, "d1");
			receive(new ParentCandidates(List.of(RelayTreeNodeTests.this.control, relay), 2, true));
			List<InstanceId> parents = new ArrayList<>();
			for (int i = 0; i < 9; i++) {
				RelayTreeNodeTests.this.now += SECOND;
				receive(parentHeartbeat(1, 1));
				RelayTreeNodeTests.this.node.on(new RelayTreeEvent.Tick(), RelayTreeNodeTests.this.now);
				RelayTreeNodeTests.this.node.parent().ifPresent(parents::add);
			}
			assertThat(parents).contains(relay.id());
		}

		@Test
		void doesNotAcceptItsOwnParentAsAChild() {
			attach();
			ChildHeartbeat heartbeat = childHeartbeat(Nodes.node("control-0", NodeRole.ENTRY, "d0"), 0);
			receive(heartbeat);
			assertThat(RelayTreeNodeTests.this.node.childCount()).isZero();
		}

	}

	@Nested
	class Leaving {

		@Test
		void isSentToParentAndControlInstanceAtOnce() {
			attach();
			List<RelayTreeCommand> commands = RelayTreeNodeTests.this.node.on(new RelayTreeEvent.LeaveRequested(),
					RelayTreeNodeTests.this.now);
			assertThat(Nodes.sentMessages(commands, ChildHeartbeat.class)).singleElement()
				.matches(ChildHeartbeat::leaving);
			assertThat(Nodes.sentMessages(commands, LeaveNotice.class)).hasSize(1);
		}

	}

	@Nested
	class Relaying {

		@Test
		void respondsToAChildOnlyWithAFloorRequestedAfterTheChildsRequest() {
			long first = attach().floorNonce();
			Peer child = new Peer(Nodes.node("sidecar-1", NodeRole.SIDECAR, "d1").id(), "sidecar-1:7000");
			ChildHeartbeat heartbeat = childHeartbeat(Nodes.node("sidecar-1", NodeRole.SIDECAR, "d1"), 77);
			RelayTreeNodeTests.this.node.on(new RelayTreeEvent.MessageReceived(child, heartbeat),
					RelayTreeNodeTests.this.now);
			Floor floor = new Floor(Version.ZERO, FencingNumber.ZERO);
			List<RelayTreeCommand> commands = receive(new FloorResponse(first, floor));
			assertThat(Nodes.sentMessages(commands, FloorResponse.class)).isEmpty();
			long second = Nodes.sentMessages(commands, ChildHeartbeat.class).get(0).floorNonce();
			assertThat(Nodes.sentMessages(receive(new FloorResponse(second, floor)), FloorResponse.class))
				.containsExactly(new FloorResponse(77, floor));
		}

		@Test
		void listsChildrenThatLagBehind() {
			confirmFloor(0);
			Peer child = new Peer(Nodes.node("sidecar-1", NodeRole.SIDECAR, "d1").id(), "sidecar-1:7000");
			ChildHeartbeat heartbeat = childHeartbeat(Nodes.node("sidecar-1", NodeRole.SIDECAR, "d1"), 0);
			RelayTreeNodeTests.this.node.on(new RelayTreeEvent.MessageReceived(child, heartbeat),
					RelayTreeNodeTests.this.now);
			receive(new DeltaUpdate(StreamId.CONFIGURATION, Term.of(1), List.of(delta(1, 1))));
			assertThat(RelayTreeNodeTests.this.node.coverage().laggingNodes())
				.containsExactly(new LaggingNode(child.id(), 0));
		}

		@Test
		void sendsDeltasToAChildThatLagsBehind() {
			attach();
			receive(new DeltaUpdate(StreamId.CONFIGURATION, Term.of(1), List.of(delta(1, 1))));
			ChildHeartbeat heartbeat = childHeartbeat(Nodes.node("sidecar-1", NodeRole.SIDECAR, "d1"), 0);
			List<RelayTreeCommand> commands = RelayTreeNodeTests.this.node.on(
					new RelayTreeEvent.MessageReceived(Peer.of(heartbeat.node()), heartbeat),
					RelayTreeNodeTests.this.now);
			assertThat(Nodes.sentMessages(commands, DeltaUpdate.class)).hasSize(1);
		}

	}

}
