package org.comfreywall.control.spread;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.generated.BeatProto;
import org.comfreywall.control.generated.CoverageProto;
import org.comfreywall.control.generated.DeltaProto;
import org.comfreywall.control.generated.DeltasProto;
import org.comfreywall.control.generated.EntryProto;
import org.comfreywall.control.generated.FloorProto;
import org.comfreywall.control.generated.HeartbeatProto;
import org.comfreywall.control.generated.MemberReportProto;
import org.comfreywall.control.generated.ParentsProto;
import org.comfreywall.control.generated.PositionProto;
import org.comfreywall.control.generated.ProbeResultProto;
import org.comfreywall.control.generated.SnapshotProto;
import org.comfreywall.control.generated.SpreadEnvelopeProto;
import org.comfreywall.control.generated.VersionProto;

/**
 * Converts Protocol Buffers envelopes to messages of the relay tree.
 */
final class MessageDecoder {

	private static final StreamId[] STREAMS = StreamId.values();

	private static final Presence[] PRESENCES = Presence.values();

	private MessageDecoder() {
	}

	static Optional<RelayTreeMessage> decode(SpreadEnvelopeProto envelope) {
		return switch (envelope.getBodyCase()) {
			case HEARTBEAT -> Optional.of(childHeartbeat(envelope.getHeartbeat()));
			case BEAT -> Optional.of(parentHeartbeat(envelope.getBeat()));
			case PARENTS -> Optional.of(candidates(envelope.getParents()));
			case DELTAS -> Optional.of(deltas(envelope.getDeltas()));
			case SNAPSHOT -> Optional.of(snapshot(envelope.getSnapshot()));
			case FLOOR -> Optional.of(floor(envelope.getFloor()));
			case LEAVE -> Optional.of(new LeaveNotice(RelayTreeCodec.fromProto(envelope.getLeave().getNode())));
			case PING -> Optional.of(new Ping(envelope.getPing().getNonce()));
			case PONG -> Optional
				.of(new Pong(envelope.getPong().getNonce(), Incarnation.of(envelope.getPong().getIncarnation())));
			case PROBE_REQUEST -> Optional.of(new ProbeRequest(envelope.getProbeRequest().getNonce(),
					RelayTreeCodec.fromProto(envelope.getProbeRequest().getTarget())));
			case PROBE_RESULT -> Optional.of(probeResult(envelope.getProbeResult()));
			case BODY_NOT_SET -> Optional.empty();
		};
	}

	private static ChildHeartbeat childHeartbeat(HeartbeatProto proto) {
		List<MemberReport> reports = new ArrayList<>(proto.getReportsCount());
		for (MemberReportProto report : proto.getReportsList()) {
			Preconditions.check(report.getPresence() >= 0 && report.getPresence() < PRESENCES.length,
					"unknown presence: %d", report.getPresence());
			reports.add(new MemberReport(RelayTreeCodec.fromProto(report.getNode()), PRESENCES[report.getPresence()]));
		}
		return new ChildHeartbeat(RelayTreeCodec.fromProto(proto.getNode()), proto.getLeaving(), proto.getStranded(),
				proto.getResend(), position(proto.getConfiguration()), position(proto.getMembers()),
				proto.getFloorNonce(), coverage(proto.getCoverage()), proto.getResetSequence(), proto.getReportBase(),
				proto.getReportSequence(), reports);
	}

	private static RevisionCoverage coverage(CoverageProto proto) {
		List<LaggingNode> laggingNodes = proto.getLaggardsList()
			.stream()
			.map((laggard) -> new LaggingNode(InstanceId.of(laggard.getId()), laggard.getNumber()))
			.toList();
		return new RevisionCoverage(proto.getNodes(), proto.getNumber(), proto.getBehindCount(), laggingNodes);
	}

	private static ParentHeartbeat parentHeartbeat(BeatProto proto) {
		return new ParentHeartbeat(Term.of(proto.getRootTerm()), proto.getRootSequence(),
				position(proto.getConfiguration()), position(proto.getMembers()), proto.getReportsReceived());
	}

	private static ParentCandidates candidates(ParentsProto proto) {
		return new ParentCandidates(proto.getParentsList().stream().map(RelayTreeCodec::fromProto).toList(),
				proto.getPreferred(), proto.getAdopted());
	}

	private static DeltaUpdate deltas(DeltasProto proto) {
		List<Delta> deltas = new ArrayList<>(proto.getDeltasCount());
		for (DeltaProto delta : proto.getDeltasList()) {
			deltas.add(new Delta(version(delta.getFrom()), version(delta.getTo()),
					delta.getChangesList().stream().map(MessageDecoder::change).toList()));
		}
		return new DeltaUpdate(stream(proto.getStream()), Term.of(proto.getRootTerm()), deltas);
	}

	private static EntryChange change(EntryProto proto) {
		return new EntryChange(proto.getKey(),
				proto.hasValue() ? Optional.of(Bytes.of(proto.getValue().toByteArray())) : Optional.empty());
	}

	private static SnapshotUpdate snapshot(SnapshotProto proto) {
		Map<String, Bytes> entries = new HashMap<>();
		proto.getEntriesList()
			.forEach((entry) -> entries.put(entry.getKey(), Bytes.of(entry.getValue().toByteArray())));
		return new SnapshotUpdate(stream(proto.getStream()), Term.of(proto.getRootTerm()),
				new Snapshot(version(proto.getVersion()), entries));
	}

	private static FloorResponse floor(FloorProto proto) {
		FencingNumber orders = new FencingNumber(Term.of(proto.getOrderTerm()), proto.getOrderSequence());
		return new FloorResponse(proto.getNonce(), new Floor(version(proto.getConfiguration()), orders));
	}

	private static ProbeResult probeResult(ProbeResultProto proto) {
		return new ProbeResult(proto.getNonce(), InstanceId.of(proto.getTarget()),
				Incarnation.of(proto.getIncarnation()), proto.getReachable());
	}

	private static StreamId stream(int ordinal) {
		Preconditions.check(ordinal >= 0 && ordinal < STREAMS.length, "unknown stream: %d", ordinal);
		return STREAMS[ordinal];
	}

	private static StreamPosition position(PositionProto proto) {
		return new StreamPosition(version(proto.getVersion()), proto.getDigest());
	}

	private static Version version(VersionProto proto) {
		return Version.of(proto.getTerm(), proto.getNumber());
	}

}
