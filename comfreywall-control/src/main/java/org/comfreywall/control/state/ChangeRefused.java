package org.comfreywall.control.state;

import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.util.Preconditions;

/**
 * The change was rejected: it is malformed, fails validation, reuses a change id or rolls
 * back to a revision that the history does not hold.
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
