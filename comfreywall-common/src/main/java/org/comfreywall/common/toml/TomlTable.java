package org.comfreywall.common.toml;

import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.comfreywall.common.util.Preconditions;

/**
 * A table of a document that has been validated against its descriptor, so that every
 * required key has a valid value.
 */
public final class TomlTable {

	private final String path;

	private final Map<KeyDescriptor<?>, Object> values = new IdentityHashMap<>();

	private final Map<TableDescriptor, List<TomlTable>> inner = new IdentityHashMap<>();

	TomlTable(String path) {
		this.path = path;
	}

	<T> void put(KeyDescriptor<T> key, T value) {
		this.values.put(key, value);
	}

	void add(TableDescriptor descriptor, TomlTable table) {
		this.inner.computeIfAbsent(descriptor, (absent) -> new ArrayList<>()).add(table);
	}

	/**
	 * Parses a document and validates it against its descriptor.
	 * @param text the document
	 * @param descriptor the allowed keys and tables
	 * @param problems collects the problems found
	 * @return the document, or empty if it is invalid
	 */
	public static Optional<TomlTable> parse(String text, TableDescriptor descriptor, Problems problems) {
		Preconditions.notNull(text, "text");
		Preconditions.notNull(descriptor, "descriptor");
		Preconditions.notNull(problems, "problems");
		return TomlParser.parse(text, problems)
			.map((node) -> new TableValidator(problems).validate(node, descriptor, ""))
			.filter((table) -> problems.isEmpty());
	}

	/**
	 * Returns the names of the top-level keys and tables of a document without validating
	 * it.
	 * @param text the document
	 * @return the names, none if the document is not valid TOML
	 */
	public static Set<String> topLevelNames(String text) {
		Set<String> names = new LinkedHashSet<>();
		TomlParser.parse(text, new Problems("document"))
			.ifPresent((node) -> node.fieldNames().forEachRemaining(names::add));
		return names;
	}

	/**
	 * Returns the full name of a key in this table.
	 * @param key the key
	 * @return the name, such as {@code entry.listen}
	 */
	public String fullName(KeyDescriptor<?> key) {
		return this.path + key.name();
	}

	/**
	 * Returns the value of a key that is required or has a default.
	 * @param <T> the type of the value
	 * @param key the key
	 * @return the value
	 */
	public <T> T value(KeyDescriptor<T> key) {
		return find(key)
			.orElseThrow(() -> new IllegalStateException(fullName(key) + " has neither a value nor a default"));
	}

	/**
	 * Returns the value of an optional key.
	 * @param <T> the type of the value
	 * @param key the key
	 * @return the value or its default, or empty if there is neither
	 */
	@SuppressWarnings("unchecked")
	public <T> Optional<T> find(KeyDescriptor<T> key) {
		// Safe because put stores only values of the key's type.
		T value = (T) this.values.get(key);
		return (value != null) ? Optional.of(value) : key.convertedDefault();
	}

	/**
	 * Returns a nested table.
	 * @param descriptor the nested table's descriptor
	 * @return the table, or empty if it is absent
	 */
	public Optional<TomlTable> table(TableDescriptor descriptor) {
		return tables(descriptor).stream().findFirst();
	}

	/**
	 * Returns a nested table, or one in which every key has its default if it is absent.
	 * @param descriptor the nested table's descriptor
	 * @return the table
	 */
	public TomlTable tableOrDefaults(TableDescriptor descriptor) {
		return table(descriptor).orElseGet(() -> new TomlTable(this.path + descriptor.name() + "."));
	}

	/**
	 * Returns the elements of a nested array of tables.
	 * @param descriptor the elements' descriptor
	 * @return the tables in document order
	 */
	public List<TomlTable> tables(TableDescriptor descriptor) {
		return Collections.unmodifiableList(this.inner.getOrDefault(descriptor, List.of()));
	}

}
