package org.comfreywall.common.log;

import org.comfreywall.common.decision.Field;

/**
 * Formats an event as key=value pairs. Values with spaces, quotes, equals signs or
 * control characters are quoted and escaped.
 */
final class LogLine {

	private final String source;

	private final String event;

	private final Field[] fields;

	LogLine(String source, String event, Field[] fields) {
		this.source = source;
		this.event = event;
		this.fields = fields.clone();
	}

	@Override
	public String toString() {
		StringBuilder line = new StringBuilder();
		append(line, "event", this.event);
		append(line, "source", this.source);
		for (Field field : this.fields) {
			append(line, field.key(), field.value());
		}
		return line.toString();
	}

	private static void append(StringBuilder line, String key, String value) {
		if (!line.isEmpty()) {
			line.append(' ');
		}
		line.append(key).append('=');
		if (needsNoQuotes(value)) {
			line.append(value);
		}
		else {
			quote(line, value);
		}
	}

	private static boolean needsNoQuotes(String value) {
		return !value.isEmpty() && value.chars().allMatch((c) -> c > ' ' && c != '"' && c != '=' && c != 0x7f);
	}

	private static void quote(StringBuilder line, String value) {
		line.append('"');
		for (int i = 0; i < value.length(); i++) {
			char c = value.charAt(i);
			if (c == '"' || c == '\\') {
				line.append('\\').append(c);
			}
			else if (c < ' ' || c == 0x7f) {
				line.append(String.format("\\u%04x", (int) c));
			}
			else {
				line.append(c);
			}
		}
		line.append('"');
	}

}
