package org.comfreywall.control.spread;

import com.google.protobuf.InvalidProtocolBufferException;
import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.generated.NodeProto;
import org.comfreywall.control.generated.SpreadEnvelopeProto;

/**
 * Encodes and decodes the messages of the relay tree.
 */
public final class RelayTreeCodec {

	private static final NodeRole[] ROLES = NodeRole.values();

	private RelayTreeCodec() {
	}

	/**
	 * Encodes a message as a Protocol Buffers envelope.
	 * @param message the message
	 * @return the encoded message
	 */
	public static byte[] encode(RelayTreeMessage message) {
		return MessageEncoder.encode(Preconditions.notNull(message, "message")).toByteArray();
	}

	/**
	 * Decodes a message from a Protocol Buffers envelope.
	 * @param content the encoded message
	 * @return the message, or an error with {@link ErrorCode#MALFORMED}
	 */
	public static Result<RelayTreeMessage> decode(byte[] content) {
		try {
			return MessageDecoder.decode(SpreadEnvelopeProto.parseFrom(content))
				.<Result<RelayTreeMessage>>map(Result::success)
				.orElseGet(() -> malformed("the body is missing or of an unknown type"));
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			return malformed(ex.getMessage());
		}
	}

	/**
	 * Converts a node descriptor to its Protocol Buffers message.
	 * @param node the node
	 * @return the message
	 */
	public static NodeProto toProto(NodeDescriptor node) {
		return NodeProto.newBuilder()
			.setId(node.id().value())
			.setIncarnation(node.incarnation().value())
			.setRole(node.role().ordinal())
			.setRegion(node.region())
			.setFailureDomain(node.domain().value())
			.setAddress(node.address())
			.build();
	}

	/**
	 * Converts a Protocol Buffers message to a node descriptor.
	 * @param proto the message
	 * @return the node
	 * @throws IllegalArgumentException if a value is missing or invalid
	 */
	public static NodeDescriptor fromProto(NodeProto proto) {
		Preconditions.check(proto.getRole() >= 0 && proto.getRole() < ROLES.length, "unknown role: %d",
				proto.getRole());
		return new NodeDescriptor(InstanceId.of(proto.getId()), Incarnation.of(proto.getIncarnation()),
				ROLES[proto.getRole()], proto.getRegion(), FailureDomainId.of(proto.getFailureDomain()),
				proto.getAddress());
	}

	private static Result<RelayTreeMessage> malformed(String reason) {
		return Result.failure(OperationError.local(ErrorCode.MALFORMED, Step.MEMBERSHIP,
				"Cannot decode a message of the relay tree: " + reason));
	}

}
