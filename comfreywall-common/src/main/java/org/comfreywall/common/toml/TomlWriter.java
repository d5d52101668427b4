package org.comfreywall.common.toml;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * Writes a TOML document for human readers: comments, then keys, then tables, each
 * preceded by an empty line.
 */
public final class TomlWriter {

	private final StringBuilder text = new StringBuilder();

	/**
	 * Writes a comment.
	 * @param line the comment, one line
	 * @return this writer
	 */
	public TomlWriter comment(String line) {
		Preconditions.check(line.lines().count() <= 1, "line must be one line: %s", line);
		this.text.append("# ").append(line).append('\n');
		return this;
	}

	/**
	 * Writes a table that occurs once.
	 * @param name the table's full name
	 * @param fields the table's fields
	 * @return this writer
	 */
	public TomlWriter table(String name, List<TomlField> fields) {
		return writeHeader("[" + name + "]").fields(fields);
	}

	/**
	 * Writes the next element of an array of tables.
	 * @param name the array's full name
	 * @param fields the table's fields
	 * @return this writer
	 */
	public TomlWriter tableArrayElement(String name, List<TomlField> fields) {
		return writeHeader("[[" + name + "]]").fields(fields);
	}

	/**
	 * Writes fields into the most recently written table, or at the top level if there is
	 * none.
	 * @param fields the fields
	 * @return this writer
	 */
	public TomlWriter fields(List<TomlField> fields) {
		fields.forEach((field) -> this.text.append(field.key()).append(" = ").append(field.literal()).append('\n'));
		return this;
	}

	private TomlWriter writeHeader(String header) {
		if (!this.text.isEmpty()) {
			this.text.append('\n');
		}
		this.text.append(header).append('\n');
		return this;
	}

	@Override
	public String toString() {
		return this.text.toString();
	}

}
