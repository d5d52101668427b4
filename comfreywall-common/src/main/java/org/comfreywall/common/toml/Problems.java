package org.comfreywall.common.toml;

import java.util.ArrayList;
import java.util.List;

import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Preconditions;

/**
 * Gathers the faults of one TOML document; keeps at most {@value #CAPACITY} of them.
 */
public final class Problems {

	private static final int CAPACITY = 100;

	private static final int SHOWN_CHARACTERS = 80;

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
	 * Adds a fault.
	 * @param key the full key at fault
	 * @param value the value found
	 * @param allowed what is allowed instead
	 */
	public void add(String key, String value, String allowed) {
		if (this.entries.size() < CAPACITY) {
			this.entries.add(new Problem(this.file, printable(key), printable(value), allowed));
		}
	}

	/**
	 * Tells whether no fault was found.
	 * @return {@code true} if there is none
	 */
	public boolean isEmpty() {
		return this.entries.isEmpty();
	}

	/**
	 * Returns the faults in the order in which they were found.
	 * @return the faults
	 */
	public List<Problem> entries() {
		return List.copyOf(this.entries);
	}

	/**
	 * Describes all faults as one error, one line a fault.
	 * @param step the step in which the document was read
	 * @return the error
	 */
	public OperationError toError(Step step) {
		List<String> lines = this.entries.stream().map(Problem::toString).toList();
		return OperationError.local(ErrorCode.INVALID_INPUT, step, String.join("\n", lines));
	}

	private static String printable(String text) {
		String shown = (text.length() > SHOWN_CHARACTERS) ? text.substring(0, SHOWN_CHARACTERS) + "..." : text;
		return shown.replaceAll("\\p{Cntrl}", "?");
	}

}
