package org.comfreywall.common.toml;

import org.comfreywall.common.util.Preconditions;

/**
 * One fault in a TOML document.
 *
 * @param file the name of the document's file
 * @param key the full key at fault, or a position such as {@code line 3 column 7}
 * @param value the value found, shortened, or a remark in parentheses
 * @param allowed what is allowed instead
 */
public record Problem(String file, String key, String value, String allowed) {

	public Problem {
		Preconditions.notBlank(file, "file");
		Preconditions.notBlank(key, "key");
		Preconditions.notNull(value, "value");
		Preconditions.notBlank(allowed, "allowed");
	}

	@Override
	public String toString() {
		return this.file + ": " + this.key + " = " + this.value + "; allowed: " + this.allowed;
	}

}
