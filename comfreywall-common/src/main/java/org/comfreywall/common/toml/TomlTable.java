package org.comfreywall.common.toml;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.comfreywall.common.util.Preconditions;

/**
 * A table of a document that has been checked against its descriptor, so that every
 * required key has an allowed value.
 */
public final class TomlTable {

	private final ObjectNode node;

	private final String path;

	TomlTable(ObjectNode node, String path) {
		this.node = node;
		this.path = path;
	}

	/**
	 * Parses a document and checks it against its descriptor.
	 * @param text the document
	 * @param descriptor the keys and tables that it may hold
	 * @param problems receives the faults
	 * @return the document, or empty if it has a fault
	 */
	public static Optional<TomlTable> parse(String text, TableDescriptor descriptor, Problems problems) {
		Preconditions.notNull(text, "text");
		Preconditions.notNull(descriptor, "descriptor");
		Preconditions.notNull(problems, "problems");
		Optional<ObjectNode> root = TomlParser.parse(text, problems);
		root.ifPresent((node) -> new TableValidator(problems).validate(node, descriptor, ""));
		return problems.isEmpty() ? root.map((node) -> new TomlTable(node, "")) : Optional.empty();
	}

	/**
	 * Lists the keys and tables at the top of a document, whatever its descriptor.
	 * @param text the document
	 * @return the names, none if the document is malformed
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
		return find(key).orElseThrow(() -> new IllegalStateException(fullName(key) + " was not checked"));
	}

	/**
	 * Returns the value of a key that need not be given.
	 * @param <T> the type of the value
	 * @param key the key
	 * @return the value or its default, or empty if there is neither
	 */
	public <T> Optional<T> find(KeyDescriptor<T> key) {
		JsonNode value = this.node.get(key.name());
		return (value != null) ? key.convert(value) : key.defaultValue();
	}

	/**
	 * Returns a table inside this one.
	 * @param descriptor the inner table's descriptor
	 * @return the table, or empty if it is not given
	 */
	public Optional<TomlTable> table(TableDescriptor descriptor) {
		return (this.node.get(descriptor.name()) instanceof ObjectNode inner)
				? Optional.of(new TomlTable(inner, this.path + descriptor.name() + ".")) : Optional.empty();
	}

	/**
	 * Returns a table inside this one, in which every key has its default if the table is
	 * not given.
	 * @param descriptor the inner table's descriptor
	 * @return the table
	 */
	public TomlTable tableOrDefaults(TableDescriptor descriptor) {
		return table(descriptor)
			.orElseGet(() -> new TomlTable(this.node.objectNode(), this.path + descriptor.name() + "."));
	}

	/**
	 * Returns the repeated tables inside this one.
	 * @param descriptor the inner tables' descriptor
	 * @return the tables in the document's order
	 */
	public List<TomlTable> tables(TableDescriptor descriptor) {
		List<TomlTable> inner = new ArrayList<>();
		for (JsonNode element : this.node.path(descriptor.name())) {
			inner.add(new TomlTable((ObjectNode) element, this.path + descriptor.name() + "[" + inner.size() + "]."));
		}
		return inner;
	}

}
