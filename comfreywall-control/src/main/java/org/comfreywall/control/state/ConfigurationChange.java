package org.comfreywall.control.state;

import org.comfreywall.common.id.ChangeId;
import org.comfreywall.common.id.Revision;
import org.comfreywall.common.util.Preconditions;

/**
 * A change of the configuration, submitted by an operator.
 *
 * @param id identifies the change; a resend must carry the same id
 * @param expected the revision on which the change is based
 * @param author the operator who submits the change
 * @param reason the reason that the operator gives
 * @param content the difference or rollback to apply
 */
public record ConfigurationChange(ChangeId id, Revision expected, String author, String reason, ChangeContent content) {

	/** Maximum length of the id, the author and the reason, in characters. */
	public static final int MAX_TEXT_LENGTH = 500;

	public ConfigurationChange {
		Preconditions.notNull(id, "id");
		Preconditions.notNull(expected, "expected");
		Preconditions.notBlank(author, "author");
		Preconditions.notBlank(reason, "reason");
		Preconditions.notNull(content, "content");
		checkLength(id.value(), "id");
		checkLength(author, "author");
		checkLength(reason, "reason");
	}

	private static void checkLength(String text, String name) {
		Preconditions.check(text.length() <= MAX_TEXT_LENGTH, "%s must have at most %d characters: %d", name,
				MAX_TEXT_LENGTH, text.length());
	}

}
