package org.comfreywall.control.member;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.protobuf.InvalidProtocolBufferException;
import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.generated.DomainFailureProto;
import org.comfreywall.control.generated.MemberRecordProto;
import org.comfreywall.control.spread.EntryChange;
import org.comfreywall.control.spread.NodeDescriptor;
import org.comfreywall.control.spread.NodeRole;
import org.comfreywall.control.spread.RelayTreeCodec;

/**
 * Converts records of members and failures of failure domains to and from entries of the
 * membership stream.
 */
public final class MemberEntries {

	private static final String MEMBER_PREFIX = "m/";

	private static final String DOMAIN_PREFIX = "d/";

	private static final MemberState[] STATES = MemberState.values();

	private MemberEntries() {
	}

	/**
	 * Decodes the active members: those that have neither failed nor started to leave.
	 * @param entries the entries of the membership stream
	 * @return the active members' nodes
	 */
	public static List<NodeDescriptor> decodeActiveNodes(Map<String, Bytes> entries) {
		MemberView view = new MemberView();
		entries.forEach((key, value) -> view.applyEntry(key, value));
		List<NodeDescriptor> nodes = new ArrayList<>(entries.size());
		view.records().stream().filter(view::isActive).forEach((record) -> nodes.add(record.node()));
		return nodes;
	}

	static EntryChange toEntryChange(MemberRecord record) {
		MemberRecordProto proto = MemberRecordProto.newBuilder()
			.setNode(RelayTreeCodec.toProto(record.node()))
			.setState(record.state().ordinal())
			.setStamp(record.sequence())
			.build();
		return EntryChange.set(MEMBER_PREFIX + record.node().id(), Bytes.of(proto.toByteArray()));
	}

	static EntryChange toEntryChange(DomainFailure failure) {
		DomainFailureProto proto = DomainFailureProto.newBuilder()
			.setFailureDomain(failure.domain().value())
			.setStamp(failure.sequence())
			.build();
		return EntryChange.set(DOMAIN_PREFIX + failure.domain(), Bytes.of(proto.toByteArray()));
	}

	static EntryChange toRemoval(InstanceId id) {
		return EntryChange.remove(MEMBER_PREFIX + id);
	}

	static Optional<InstanceId> parseMemberId(String key) {
		return key.startsWith(MEMBER_PREFIX) ? Optional.of(InstanceId.of(key.substring(MEMBER_PREFIX.length())))
				: Optional.empty();
	}

	static Optional<MemberRecord> parseMember(String key, Bytes value) {
		if (!key.startsWith(MEMBER_PREFIX)) {
			return Optional.empty();
		}
		try {
			MemberRecordProto proto = MemberRecordProto.parseFrom(value.toArray());
			boolean known = proto.getState() < STATES.length && proto.getNode().getRole() < NodeRole.values().length;
			return known ? Optional.of(new MemberRecord(RelayTreeCodec.fromProto(proto.getNode()),
					STATES[proto.getState()], proto.getStamp())) : Optional.empty();
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	static Optional<DomainFailure> parseDomainFailure(String key, Bytes value) {
		if (!key.startsWith(DOMAIN_PREFIX)) {
			return Optional.empty();
		}
		try {
			DomainFailureProto proto = DomainFailureProto.parseFrom(value.toArray());
			return Optional.of(new DomainFailure(FailureDomainId.of(proto.getFailureDomain()), proto.getStamp()));
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

}
