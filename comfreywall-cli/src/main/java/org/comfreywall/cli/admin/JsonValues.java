package org.comfreywall.cli.admin;

import java.util.List;
import java.util.function.Function;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.comfreywall.common.util.Preconditions;

/**
 * Reads typed values of JSON objects and rejects missing required values.
 */
final class JsonValues {

	private JsonValues() {
	}

	static long requiredLong(JsonObject object, String key) {
		return Preconditions.notNull(object.getLong(key), key);
	}

	static String requiredString(JsonObject object, String key) {
		return Preconditions.notNull(object.getString(key), key);
	}

	static String stringOrEmpty(JsonObject object, String key) {
		Object value = object.getValue(key);
		return (value != null) ? value.toString() : "";
	}

	static <T> List<T> requiredObjects(JsonObject object, String key, Function<JsonObject, T> reader) {
		JsonArray array = Preconditions.notNull(object.getJsonArray(key), key);
		return array.stream().map((element) -> reader.apply(asObject(element, key))).toList();
	}

	static List<String> strings(JsonObject object, String key) {
		JsonArray array = object.getJsonArray(key, new JsonArray());
		return array.stream().map(String::valueOf).toList();
	}

	private static JsonObject asObject(Object element, String key) {
		Preconditions.check(element instanceof JsonObject, "%s must hold objects", key);
		return (JsonObject) element;
	}

}
