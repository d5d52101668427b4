package org.comfreywall.control.order;

import com.google.protobuf.InvalidProtocolBufferException;
import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.generated.OrderEnvelopeProto;
import org.comfreywall.control.generated.OrderProto;
import org.comfreywall.control.generated.OrderReplyProto;

/**
 * Encodes and decodes orders and the replies to them.
 */
public final class OrderCodec {

	private static final OrderKind[] KINDS = OrderKind.values();

	private static final OrderStatus[] STATUSES = OrderStatus.values();

	private OrderCodec() {
	}

	/**
	 * Encodes a message.
	 * @param message the message
	 * @return the encoded message
	 */
	public static byte[] encode(OrderMessage message) {
		Preconditions.notNull(message, "message");
		OrderEnvelopeProto.Builder envelope = OrderEnvelopeProto.newBuilder();
		if (message instanceof EngineOrder order) {
			envelope.setOrder(toProto(order));
		}
		else if (message instanceof OrderReply reply) {
			envelope.setReply(toProto(reply));
		}
		return envelope.build().toByteArray();
	}

	/**
	 * Decodes a message.
	 * @param content the encoded message
	 * @return the message, or {@link ErrorCode#MALFORMED}
	 */
	public static Result<OrderMessage> decode(byte[] content) {
		try {
			OrderEnvelopeProto envelope = OrderEnvelopeProto.parseFrom(content);
			return switch (envelope.getBodyCase()) {
				case ORDER -> Result.success(fromProto(envelope.getOrder()));
				case REPLY -> Result.success(fromProto(envelope.getReply()));
				case BODY_NOT_SET -> malformed("the message is neither an order nor a reply");
			};
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			return malformed(ex.getMessage());
		}
	}

	private static OrderProto toProto(EngineOrder order) {
		return OrderProto.newBuilder()
			.setTarget(order.target().value())
			.setTerm(order.number().term().value())
			.setSequence(order.number().sequence())
			.setKind(order.kind().ordinal())
			.setSubject(order.subject())
			.setValue(order.value())
			.build();
	}

	private static OrderReplyProto toProto(OrderReply reply) {
		return OrderReplyProto.newBuilder()
			.setTarget(reply.target().value())
			.setTerm(reply.number().term().value())
			.setSequence(reply.number().sequence())
			.setStatus(reply.status().ordinal())
			.setPresentTerm(reply.present().term().value())
			.setPresentSequence(reply.present().sequence())
			.setMessage(reply.message())
			.build();
	}

	private static EngineOrder fromProto(OrderProto proto) {
		Preconditions.check(proto.getKind() >= 0 && proto.getKind() < KINDS.length, "unknown order kind: %d",
				proto.getKind());
		return new EngineOrder(InstanceId.of(proto.getTarget()), number(proto.getTerm(), proto.getSequence()),
				KINDS[proto.getKind()], proto.getSubject(), proto.getValue());
	}

	private static OrderReply fromProto(OrderReplyProto proto) {
		Preconditions.check(proto.getStatus() >= 0 && proto.getStatus() < STATUSES.length, "unknown order status: %d",
				proto.getStatus());
		return new OrderReply(InstanceId.of(proto.getTarget()), number(proto.getTerm(), proto.getSequence()),
				STATUSES[proto.getStatus()], number(proto.getPresentTerm(), proto.getPresentSequence()),
				proto.getMessage());
	}

	private static FencingNumber number(long term, long sequence) {
		return new FencingNumber(Term.of(term), sequence);
	}

	private static Result<OrderMessage> malformed(String reason) {
		return Result.failure(
				OperationError.local(ErrorCode.MALFORMED, Step.ORDER, "cannot decode an order or a reply: " + reason));
	}

}
