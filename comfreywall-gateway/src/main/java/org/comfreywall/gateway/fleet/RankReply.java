package org.comfreywall.gateway.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.transport.generated.RankNoticeReply;
import org.comfreywall.transport.generated.Reply;

/**
 * The reply of another process to the report of a rank.
 *
 * @param call the number of the call
 * @param accepted whether the report was read; {@code false} if the call failed
 * @param leader the process to report to, or empty if it is not known
 * @param members the processes that may know the leader
 */
record RankReply(long call, boolean accepted, Optional<HostPort> leader, List<HostPort> members) {

	/**
	 * Parses a {@link Reply} with a {@link RankNoticeReply}.
	 * @param in the encoded reply
	 * @return the reply
	 * @throws IOException if it is malformed
	 */
	static RankReply parse(CodedInputStream in) throws IOException {
		long call = 0;
		byte[] payload = {};
		boolean accepted = true;
		for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
			switch (WireFormat.getTagFieldNumber(tag)) {
				case Reply.ID_FIELD_NUMBER -> {
					call = in.readUInt64();
				}
				case Reply.PAYLOAD_FIELD_NUMBER -> {
					payload = in.readByteArray();
				}
				case Reply.ERROR_FIELD_NUMBER -> {
					accepted = false;
					in.skipField(tag);
				}
				default -> in.skipField(tag);
			}
		}
		return parse(call, accepted, CodedInputStream.newInstance(payload));
	}

	private static RankReply parse(long call, boolean accepted, CodedInputStream in) throws IOException {
		Optional<HostPort> leader = Optional.empty();
		List<HostPort> members = new ArrayList<>();
		for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
			switch (WireFormat.getTagFieldNumber(tag)) {
				case RankNoticeReply.LEADER_FIELD_NUMBER -> {
					leader = HostPort.parse(in.readString());
				}
				case RankNoticeReply.MEMBERS_FIELD_NUMBER -> HostPort.parse(in.readString()).ifPresent(members::add);
				default -> in.skipField(tag);
			}
		}
		return new RankReply(call, accepted, leader, members);
	}

}
