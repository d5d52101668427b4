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
 * Parses TOML text into nodes.
 */
final class TomlParser {

	private static final int LARGEST_DOCUMENT_CHARACTERS = 16 * 1024 * 1024;

	private static final TomlFactory FACTORY = new TomlFactory();

	private TomlParser() {
	}

	static Optional<ObjectNode> parse(String text, Problems problems) {
		if (text.length() > LARGEST_DOCUMENT_CHARACTERS) {
			problems.add("document", "(" + text.length() + " characters)",
					"at most " + LARGEST_DOCUMENT_CHARACTERS + " characters");
			return Optional.empty();
		}
		try {
			return Optional.of(read(text));
		}
		catch (JsonProcessingException ex) {
			problems.add(position(ex.getLocation()), "(not TOML)", "valid TOML 1.0; the parser says: " + reason(ex));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Reading from memory cannot fail", ex);
		}
		catch (RuntimeException ex) {
			// The parser lets some malformed numbers and dates escape as unchecked
			// exceptions.
			problems.add("document", "(not TOML)", "valid TOML 1.0; the parser says: " + reason(ex));
		}
		return Optional.empty();
	}

	static JsonNode literal(String literal) {
		try {
			return read("value = " + literal).get("value");
		}
		catch (IOException | RuntimeException ex) {
			throw new IllegalArgumentException("literal is not TOML: " + literal, ex);
		}
	}

	private static ObjectNode read(String text) throws IOException {
		try (JsonParser parser = FACTORY.createParser(text)) {
			return new TreeBuilder(parser).build();
		}
	}

	private static String position(JsonLocation location) {
		return (location != null) ? "line " + location.getLineNr() + " column " + location.getColumnNr() : "document";
	}

	private static String reason(Exception ex) {
		String message = (ex instanceof JsonProcessingException json) ? json.getOriginalMessage() : ex.getMessage();
		return (message != null) ? message.lines().findFirst().orElse("no reason") : "no reason";
	}

}
