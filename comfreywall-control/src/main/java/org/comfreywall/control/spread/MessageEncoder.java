package org.comfreywall.control.spread;

import com.google.protobuf.UnsafeByteOperations;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.generated.BeatProto;
import org.comfreywall.control.generated.CoverageProto;
import org.comfreywall.control.generated.DeltaProto;
import org.comfreywall.control.generated.DeltasProto;
import org.comfreywall.control.generated.EntryProto;
import org.comfreywall.control.generated.FloorProto;
import org.comfreywall.control.generated.HeartbeatProto;
import org.comfreywall.control.generated.LaggardProto;
import org.comfreywall.control.generated.LeaveProto;
import org.comfreywall.control.generated.MemberReportProto;
import org.comfreywall.control.generated.ParentsProto;
import org.comfreywall.control.generated.PingProto;
import org.comfreywall.control.generated.PongProto;
import org.comfreywall.control.generated.PositionProto;
import org.comfreywall.control.generated.ProbeRequestProto;
import org.comfreywall.control.generated.ProbeResultProto;
import org.comfreywall.control.generated.SnapshotProto;
import org.comfreywall.control.generated.SpreadEnvelopeProto;
import org.comfreywall.control.generated.VersionProto;

/**
 * Converts messages of the relay tree to Protocol Buffers envelopes.
 */
final class MessageEncoder {

	private MessageEncoder() {
	}

	static SpreadEnvelopeProto encode(RelayTreeMessage message) {
		SpreadEnvelopeProto.Builder envelope = SpreadEnvelopeProto.newBuilder();
		if (message instanceof ChildHeartbeat heartbeat) {
			envelope.setHeartbeat(childHeartbeat(heartbeat));
		}
		else if (message instanceof ParentHeartbeat heartbeat) {
			envelope.setBeat(parentHeartbeat(heartbeat));
		}
		else if (message instanceof ParentCandidates candidates) {
			envelope.setParents(candidates(candidates));
		}
		else if (message instanceof DeltaUpdate update) {
			envelope.setDeltas(deltas(update));
		}
		else if (message instanceof SnapshotUpdate update) {
			envelope.setSnapshot(snapshot(update));
		}
		else if (message instanceof FloorResponse response) {
			envelope.setFloor(floor(response));
		}
		else {
			encodeDirectMessage(message, envelope);
		}
		return envelope.build();
	}

	private static void encodeDirectMessage(RelayTreeMessage message, SpreadEnvelopeProto.Builder envelope) {
		if (message instanceof LeaveNotice notice) {
			envelope.setLeave(LeaveProto.newBuilder().setNode(RelayTreeCodec.toProto(notice.node())));
		}
		else if (message instanceof Ping ping) {
			envelope.setPing(PingProto.newBuilder().setNonce(ping.nonce()));
		}
		else if (message instanceof Pong pong) {
			envelope.setPong(PongProto.newBuilder().setNonce(pong.nonce()).setIncarnation(pong.incarnation().value()));
		}
		else if (message instanceof ProbeRequest request) {
			envelope.setProbeRequest(ProbeRequestProto.newBuilder()
				.setNonce(request.nonce())
				.setTarget(RelayTreeCodec.toProto(request.target())));
		}
		else if (message instanceof ProbeResult result) {
			envelope.setProbeResult(ProbeResultProto.newBuilder()
				.setNonce(result.nonce())
				.setTarget(result.target().value())
				.setIncarnation(result.incarnation().value())
				.setReachable(result.reachable()));
		}
	}

	private static HeartbeatProto childHeartbeat(ChildHeartbeat heartbeat) {
		HeartbeatProto.Builder proto = HeartbeatProto.newBuilder()
			.setNode(RelayTreeCodec.toProto(heartbeat.node()))
			.setLeaving(heartbeat.leaving())
			.setStranded(heartbeat.candidatesUnreachable())
			.setResend(heartbeat.resendRequested())
			.setConfiguration(position(heartbeat.configuration()))
			.setMembers(position(heartbeat.members()))
			.setFloorNonce(heartbeat.floorNonce())
			.setCoverage(coverage(heartbeat.coverage()))
			.setResetSequence(heartbeat.fullReportSequence())
			.setReportBase(heartbeat.baseReportSequence())
			.setReportSequence(heartbeat.lastReportSequence());
		for (MemberReport report : heartbeat.reports()) {
			proto.addReports(MemberReportProto.newBuilder()
				.setNode(RelayTreeCodec.toProto(report.node()))
				.setPresence(report.presence().ordinal()));
		}
		return proto.build();
	}

	private static CoverageProto coverage(RevisionCoverage coverage) {
		CoverageProto.Builder proto = CoverageProto.newBuilder()
			.setNodes(coverage.nodeCount())
			.setNumber(coverage.revision())
			.setBehindCount(coverage.laggingCount());
		for (LaggingNode node : coverage.laggingNodes()) {
			proto.addLaggards(LaggardProto.newBuilder().setId(node.id().value()).setNumber(node.revision()));
		}
		return proto.build();
	}

	private static BeatProto parentHeartbeat(ParentHeartbeat heartbeat) {
		return BeatProto.newBuilder()
			.setRootTerm(heartbeat.rootTerm().value())
			.setRootSequence(heartbeat.rootSequence())
			.setConfiguration(position(heartbeat.configuration()))
			.setMembers(position(heartbeat.members()))
			.setReportsReceived(heartbeat.receivedReportSequence())
			.build();
	}

	private static ParentsProto candidates(ParentCandidates candidates) {
		ParentsProto.Builder proto = ParentsProto.newBuilder()
			.setPreferred(candidates.preferredCount())
			.setAdopted(candidates.accepted());
		candidates.nodes().forEach((candidate) -> proto.addParents(RelayTreeCodec.toProto(candidate)));
		return proto.build();
	}

	private static DeltasProto deltas(DeltaUpdate update) {
		DeltasProto.Builder proto = DeltasProto.newBuilder()
			.setStream(update.stream().ordinal())
			.setRootTerm(update.rootTerm().value());
		for (Delta delta : update.deltas()) {
			DeltaProto.Builder deltaProto = DeltaProto.newBuilder()
				.setFrom(version(delta.from()))
				.setTo(version(delta.to()));
			delta.changes().forEach((change) -> deltaProto.addChanges(change(change)));
			proto.addDeltas(deltaProto);
		}
		return proto.build();
	}

	private static EntryProto change(EntryChange change) {
		EntryProto.Builder proto = EntryProto.newBuilder().setKey(change.key());
		change.value().ifPresent((value) -> proto.setValue(UnsafeByteOperations.unsafeWrap(value.toArray())));
		return proto.build();
	}

	private static SnapshotProto snapshot(SnapshotUpdate update) {
		SnapshotProto.Builder proto = SnapshotProto.newBuilder()
			.setStream(update.stream().ordinal())
			.setRootTerm(update.rootTerm().value())
			.setVersion(version(update.snapshot().version()));
		update.snapshot().entries().forEach((key, value) -> proto.addEntries(entry(key, value)));
		return proto.build();
	}

	private static EntryProto entry(String key, Bytes value) {
		return EntryProto.newBuilder().setKey(key).setValue(UnsafeByteOperations.unsafeWrap(value.toArray())).build();
	}

	private static FloorProto floor(FloorResponse response) {
		return FloorProto.newBuilder()
			.setNonce(response.nonce())
			.setConfiguration(version(response.floor().configuration()))
			.setOrderTerm(response.floor().orders().term().value())
			.setOrderSequence(response.floor().orders().sequence())
			.build();
	}

	private static PositionProto position(StreamPosition position) {
		return PositionProto.newBuilder().setVersion(version(position.version())).setDigest(position.digest()).build();
	}

	private static VersionProto version(Version version) {
		return VersionProto.newBuilder().setTerm(version.term().value()).setNumber(version.number()).build();
	}

}
