package org.comfreywall.transport;

import java.util.Optional;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Step;
import org.comfreywall.transport.generated.WireError;

/**
 * Converts errors to and from their wire form.
 */
public final class WireErrors {

	private WireErrors() {
	}

	/**
	 * Encodes an error.
	 * @param error the error
	 * @return its wire form
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
	 * Decodes an error; a code or step of a newer version becomes a general one.
	 * @param error the wire form
	 * @param sender the peer that sent it, used where the error names none
	 * @return the error
	 */
	public static OperationError decode(WireError error, InstanceId sender) {
		InstanceId peer = error.getPeer().isBlank() ? sender : InstanceId.of(error.getPeer());
		String message = error.getMessage().isBlank() ? "no details given" : error.getMessage();
		return new OperationError(parse(ErrorCode.class, error.getCode(), ErrorCode.BACKEND_ERROR),
				parse(Step.class, error.getStep(), Step.RUN), Optional.of(peer), message);
	}

	private static <E extends Enum<E>> E parse(Class<E> type, String name, E otherwise) {
		for (E constant : type.getEnumConstants()) {
			if (constant.name().equals(name)) {
				return constant;
			}
		}
		return otherwise;
	}

}
