package org.comfreywall.common.toml;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * Writes a TOML document for people to read: comments, then keys, then tables, each after
 * an empty line.
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
	 * Starts a table that occurs once.
	 * @param name the table's full name
	 * @param fields the table's fields
	 * @return this writer
	 */
	public TomlWriter table(String name, List<TomlField> fields) {
		return start("[" + name + "]").fields(fields);
	}

	/**
	 * Starts the next of the tables with one name.
	 * @param name the tables' full name
	 * @param fields the table's fields
	 * @return this writer
	 */
	public TomlWriter element(String name, List<TomlField> fields) {
		return start("[[" + name + "]]").fields(fields);
	}

	/**
	 * Writes fields into the table started last.
	 * @param fields the fields
	 * @return this writer
	 */
	public TomlWriter fields(List<TomlField> fields) {
		fields.forEach((field) -> this.text.append(field.key()).append(" = ").append(field.literal()).append('\n'));
		return this;
	}

	private TomlWriter start(String header) {
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
