package org.comfreywall.common.toml;

import java.util.List;
import java.util.stream.Stream;

import org.comfreywall.common.util.Preconditions;

/**
 * Describes one table of a document with all keys and tables it may hold.
 *
 * @param name the table's key within its parent; empty for the document itself
 * @param repeated whether the document holds any number of such tables
 * @param doc what the table is for, one sentence
 * @param keys the table's keys in reading order
 * @param tables the tables inside it in reading order
 */
public record TableDescriptor(String name, boolean repeated, String doc, List<KeyDescriptor<?>> keys,
		List<TableDescriptor> tables) {

	public TableDescriptor {
		Preconditions.notNull(name, "name");
		Preconditions.notBlank(doc, "doc");
		keys = List.copyOf(keys);
		tables = List.copyOf(tables);
	}

	/**
	 * Describes a whole document.
	 * @param doc what the document is for
	 * @param keys the keys at the top
	 * @param tables the tables
	 * @return the descriptor
	 */
	public static TableDescriptor document(String doc, List<KeyDescriptor<?>> keys, List<TableDescriptor> tables) {
		return new TableDescriptor("", false, doc, keys, tables);
	}

	/**
	 * Describes a table that occurs at most once.
	 * @param name the table's key
	 * @param doc what the table is for
	 * @param keys its keys
	 * @return the descriptor
	 */
	public static TableDescriptor single(String name, String doc, KeyDescriptor<?>... keys) {
		return new TableDescriptor(name, false, doc, List.of(keys), List.of());
	}

	/**
	 * Describes a table that may occur any number of times.
	 * @param name the table's key
	 * @param doc what each table is for
	 * @param keys the keys of each
	 * @return the descriptor
	 */
	public static TableDescriptor repeated(String name, String doc, KeyDescriptor<?>... keys) {
		return new TableDescriptor(name, true, doc, List.of(keys), List.of());
	}

	/**
	 * Adds tables inside this one.
	 * @param inner the tables
	 * @return the descriptor with those tables
	 */
	public TableDescriptor with(TableDescriptor... inner) {
		return new TableDescriptor(this.name, this.repeated, this.doc, this.keys, List.of(inner));
	}

	/**
	 * Returns the names of all keys and tables inside this one.
	 * @return the names in reading order
	 */
	public List<String> names() {
		return Stream
			.concat(this.keys.stream().map(KeyDescriptor::name), this.tables.stream().map(TableDescriptor::name))
			.toList();
	}

}
