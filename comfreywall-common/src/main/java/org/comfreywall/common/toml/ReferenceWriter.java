package org.comfreywall.common.toml;

import java.util.ArrayList;
import java.util.List;

/**
 * Writes a reference of all keys of a document as Markdown tables.
 */
public final class ReferenceWriter {

	private final StringBuilder text = new StringBuilder();

	private ReferenceWriter() {
	}

	/**
	 * Writes the reference of a document.
	 * @param document the document's descriptor
	 * @return the reference in Markdown
	 */
	public static String write(TableDescriptor document) {
		ReferenceWriter writer = new ReferenceWriter();
		writer.append(document, "");
		return writer.text.toString();
	}

	private void append(TableDescriptor table, String path) {
		this.text.append("### ").append(title(table, path)).append("\n\n").append(table.doc()).append("\n\n");
		this.text.append("| key | type | unit | default | allowed | meaning |\n|---|---|---|---|---|---|\n");
		table.keys().forEach(this::append);
		this.text.append('\n');
		String prefix = table.name().isEmpty() ? "" : path + table.name() + ".";
		table.tables().forEach((inner) -> append(inner, prefix));
	}

	private static String title(TableDescriptor table, String path) {
		if (table.name().isEmpty()) {
			return "At the top";
		}
		String name = path + table.name();
		return table.repeated() ? "`[[" + name + "]]`" : "`[" + name + "]`";
	}

	private void append(KeyDescriptor<?> key) {
		List<String> cells = new ArrayList<>();
		cells.add("`" + key.name() + "`");
		cells.add(key.type().name());
		cells.add(key.type().unit());
		cells.add(defaultCell(key));
		cells.add(key.type().allowed());
		cells.add(key.doc());
		cells.replaceAll((cell) -> cell.replace("|", "\\|"));
		this.text.append("| ").append(String.join(" | ", cells)).append(" |\n");
	}

	private static String defaultCell(KeyDescriptor<?> key) {
		return key.defaultLiteral()
			.map((literal) -> "`" + literal + "`")
			.orElseGet(() -> key.required() ? "required" : "none");
	}

}
