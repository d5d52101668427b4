package org.comfreywall.common.toml;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Builds the tree of a document from its tokens, without data binding. The parser limits
 * the nesting depth, so the recursion cannot overflow the stack.
 */
final class TomlTreeBuilder {

	private final JsonNodeFactory nodes = JsonNodeFactory.instance;

	private final JsonParser parser;

	TomlTreeBuilder(JsonParser parser) {
		this.parser = parser;
	}

	ObjectNode build() throws IOException {
		this.parser.nextToken();
		return object();
	}

	private ObjectNode object() throws IOException {
		ObjectNode object = this.nodes.objectNode();
		while (this.parser.nextToken() == JsonToken.FIELD_NAME) {
			String name = this.parser.currentName();
			this.parser.nextToken();
			object.set(name, value());
		}
		return object;
	}

	private ArrayNode array() throws IOException {
		ArrayNode array = this.nodes.arrayNode();
		while (this.parser.nextToken() != JsonToken.END_ARRAY) {
			array.add(value());
		}
		return array;
	}

	private JsonNode value() throws IOException {
		return switch (this.parser.currentToken()) {
			case START_OBJECT -> object();
			case START_ARRAY -> array();
			case VALUE_TRUE -> this.nodes.booleanNode(true);
			case VALUE_FALSE -> this.nodes.booleanNode(false);
			case VALUE_NUMBER_INT -> this.nodes.numberNode(this.parser.getBigIntegerValue());
			case VALUE_NUMBER_FLOAT -> this.nodes.numberNode(this.parser.getDoubleValue());
			case VALUE_STRING -> this.nodes.textNode(this.parser.getText());
			default -> this.nodes.pojoNode(this.parser.getText());
		};
	}

}
