package org.comfreywall.common.toml;

import java.util.List;
import java.util.stream.Stream;

import org.comfreywall.common.util.Preconditions;

/**
 * Definition of one table of a document with its allowed keys and nested tables.
 *
 * @param name the table's key within its parent; empty for the document itself
 * @param repeated whether the table is an element of an array of tables
 * @param doc the description of the table, one sentence
 * @param keys the table's keys in documentation order
 * @param tables the nested tables in documentation order
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
	 * Defines a document.
	 * @param doc the description of the document
	 * @param keys the top-level keys
	 * @param tables the top-level tables
	 * @return the descriptor
	 */
	public static TableDescriptor document(String doc, List<KeyDescriptor<?>> keys, List<TableDescriptor> tables) {
		return new TableDescriptor("", false, doc, keys, tables);
	}

	/**
	 * Defines a table that occurs at most once.
	 * @param name the table's key
	 * @param doc the description of the table
	 * @param keys the table's keys
	 * @return the descriptor
	 */
	public static TableDescriptor single(String name, String doc, KeyDescriptor<?>... keys) {
		return new TableDescriptor(name, false, doc, List.of(keys), List.of());
	}

	/**
	 * Defines an array of tables.
	 * @param name the array's key
	 * @param doc the description of the tables
	 * @param keys the keys of each table
	 * @return the descriptor
	 */
	public static TableDescriptor repeated(String name, String doc, KeyDescriptor<?>... keys) {
		return new TableDescriptor(name, true, doc, List.of(keys), List.of());
	}

	/**
	 * Returns a copy with the given nested tables.
	 * @param inner the nested tables
	 * @return the descriptor with these tables
	 */
	public TableDescriptor withTables(TableDescriptor... inner) {
		return new TableDescriptor(this.name, this.repeated, this.doc, this.keys, List.of(inner));
	}

	/**
	 * Returns the names of all keys and nested tables.
	 * @return the names in documentation order
	 */
	public List<String> childNames() {
		return Stream
			.concat(this.keys.stream().map(KeyDescriptor::name), this.tables.stream().map(TableDescriptor::name))
			.toList();
	}

}
