package org.comfreywall.control.state;

import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.util.Preconditions;

/**
 * The change is not allowed.
 *
 * @param code the kind of error
 * @param message what is wrong and what to do
 */
public record ChangeRefused(ErrorCode code, String message) implements ChangeAnswer {

	public ChangeRefused {
		Preconditions.notNull(code, "code");
		Preconditions.notBlank(message, "message");
	}

}
