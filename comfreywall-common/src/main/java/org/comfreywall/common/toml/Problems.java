package org.comfreywall.common.toml;

import java.util.ArrayList;
import java.util.List;

import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Preconditions;

/**
 * Collects the problems of one TOML document, up to {@value #CAPACITY}. Later ones are
 * dropped.
 */
public final class Problems {

	private static final int CAPACITY = 100;

	private static final int MAX_SHOWN_CHARACTERS = 80;

	private final String file;

	private final List<Problem> entries = new ArrayList<>();

	/**
	 * Creates an empty collection.
	 * @param file the name of the document's file
	 */
	public Problems(String file) {
		this.file = Preconditions.notBlank(file, "file");
	}

	/**
	 * Adds a problem.
	 * @param key the full name of the invalid key
	 * @param value the value found
	 * @param allowed the description of the allowed values
	 */
	public void add(String key, String value, String allowed) {
		if (this.entries.size() < CAPACITY) {
			this.entries.add(new Problem(this.file, toPrintable(key), toPrintable(value), allowed));
		}
	}

	/**
	 * Returns whether no problem was found.
	 * @return {@code true} if there is none
	 */
	public boolean isEmpty() {
		return this.entries.isEmpty();
	}

	/**
	 * Returns the problems in the order in which they were added.
	 * @return the problems
	 */
	public List<Problem> entries() {
		return List.copyOf(this.entries);
	}

	/**
	 * Creates an error whose message has one line per problem.
	 * @param step the processing step that read the document
	 * @return the error
	 */
	public OperationError toError(Step step) {
		List<String> lines = this.entries.stream().map(Problem::toString).toList();
		return OperationError.local(ErrorCode.INVALID_INPUT, step, String.join("\n", lines));
	}

	private static String toPrintable(String text) {
		String truncated = (text.length() > MAX_SHOWN_CHARACTERS) ? text.substring(0, MAX_SHOWN_CHARACTERS) + "..."
				: text;
		return truncated.replaceAll("\\p{Cntrl}", "?");
	}

}
