package org.comfreywall.common.toml;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;

/**
 * Parses TOML into a tree of JSON nodes.
 */
final class TomlParser {

	private static final int MAX_DOCUMENT_CHARACTERS = 16 * 1024 * 1024;

	private static final TomlFactory FACTORY = new TomlFactory();

	private TomlParser() {
	}

	static Optional<ObjectNode> parse(String text, Problems problems) {
		if (text.length() > MAX_DOCUMENT_CHARACTERS) {
			problems.add("document", "(" + text.length() + " characters)",
					"at most " + MAX_DOCUMENT_CHARACTERS + " characters");
			return Optional.empty();
		}
		try {
			return Optional.of(read(text));
		}
		catch (JsonProcessingException ex) {
			problems.add(describePosition(ex.getLocation()), "(not TOML)",
					"valid TOML 1.0; parser error: " + firstLine(ex));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("unexpected I/O error while parsing a string", ex);
		}
		return Optional.empty();
	}

	static JsonNode literal(String literal) {
		try {
			return read("value = " + literal).get("value");
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("literal is not TOML: " + literal, ex);
		}
	}

	private static ObjectNode read(String text) throws IOException {
		try (JsonParser parser = FACTORY.createParser(text)) {
			return new TomlTreeBuilder(parser).build();
		}
	}

	private static String describePosition(JsonLocation location) {
		return (location != null) ? "line " + location.getLineNr() + " column " + location.getColumnNr() : "document";
	}

	private static String firstLine(JsonProcessingException ex) {
		String message = ex.getOriginalMessage();
		return (message != null) ? message.lines().findFirst().orElse("no reason") : "no reason";
	}

}
