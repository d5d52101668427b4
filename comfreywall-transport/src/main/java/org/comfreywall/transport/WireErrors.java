package org.comfreywall.transport;

import java.util.Optional;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Step;
import org.comfreywall.transport.generated.WireError;

/**
 * Converts errors to and from their protobuf messages.
 */
public final class WireErrors {

	private WireErrors() {
	}

	/**
	 * Encodes an error.
	 * @param error the error
	 * @return the protobuf message
	 */
	public static WireError encode(OperationError error) {
		return WireError.newBuilder()
			.setCode(error.code().name())
			.setStep(error.step().name())
			.setPeer(error.peer().map(InstanceId::value).orElse(""))
			.setMessage(error.message())
			.build();
	}

	/**
	 * Decodes an error. A code or step that this version does not define is replaced by
	 * {@link ErrorCode#BACKEND_ERROR} or {@link Step#RUN}.
	 * @param error the protobuf message
	 * @param sender the peer that sent it, used if the error does not contain a peer
	 * @return the error
	 */
	public static OperationError decode(WireError error, InstanceId sender) {
		InstanceId peer = error.getPeer().isBlank() ? sender : InstanceId.of(error.getPeer());
		String message = error.getMessage().isBlank() ? "error without a message" : error.getMessage();
		return new OperationError(parse(ErrorCode.class, error.getCode(), ErrorCode.BACKEND_ERROR),
				parse(Step.class, error.getStep(), Step.RUN), Optional.of(peer), message);
	}

	private static <E extends Enum<E>> E parse(Class<E> type, String name, E defaultValue) {
		for (E constant : type.getEnumConstants()) {
			if (constant.name().equals(name)) {
				return constant;
			}
		}
		return defaultValue;
	}

}
