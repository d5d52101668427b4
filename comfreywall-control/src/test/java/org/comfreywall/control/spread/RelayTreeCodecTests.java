package org.comfreywall.control.spread;

import java.util.List;
import java.util.Map;

import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.util.Bytes;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RelayTreeCodec}.
 */
class RelayTreeCodecTests {

	private static final NodeDescriptor NODE = Nodes.node("entry-1", NodeRole.ENTRY, "d1");

	private static final StreamPosition POSITION = new StreamPosition(Version.of(3, 9), -5);

	static List<RelayTreeMessage> messages() {
		RevisionCoverage coverage = new RevisionCoverage(4, 9, 1, List.of(new LaggingNode(NODE.id(), 8)));
		Delta delta = new Delta(Version.of(3, 8), Version.of(3, 9),
				List.of(EntryChange.set("a", Bytes.ofText("b")), EntryChange.remove("c")));
		return List.of(
				new ChildHeartbeat(NODE, true, true, true, POSITION, POSITION, -7, coverage, 5, 5, 6,
						List.of(new MemberReport(NODE, Presence.LEAVING))),
				new ParentHeartbeat(Term.of(3), 12, POSITION, StreamPosition.ZERO, 6),
				new ParentCandidates(List.of(NODE), 1, true),
				new DeltaUpdate(StreamId.MEMBERS, Term.of(3), List.of(delta)),
				new SnapshotUpdate(StreamId.CONFIGURATION, Term.of(3),
						new Snapshot(Version.of(3, 9), Map.of("a", Bytes.ofText("b")))),
				new FloorResponse(-7, new Floor(Version.of(3, 9), new FencingNumber(Term.of(3), 4))),
				new LeaveNotice(NODE), new Ping(3), new Pong(3, Incarnation.of(2)), new ProbeRequest(4, NODE),
				new ProbeResult(4, NODE.id(), Incarnation.of(2), true));
	}

	@ParameterizedTest
	@MethodSource("messages")
	void decodesEncodedMessage(RelayTreeMessage message) {
		assertThat(RelayTreeCodec.decode(RelayTreeCodec.encode(message)).value()).contains(message);
	}

	@Test
	void reportsMalformedContent() {
		assertThat(RelayTreeCodec.decode(new byte[] { 10, 99, 1 }).error()).get()
			.matches((error) -> error.code() == ErrorCode.MALFORMED);
	}

}
