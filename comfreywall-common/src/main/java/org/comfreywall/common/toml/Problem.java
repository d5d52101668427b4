package org.comfreywall.common.toml;

import org.comfreywall.common.util.Preconditions;

/**
 * One validation problem in a TOML document.
 *
 * @param file the name of the document's file
 * @param key the full name of the invalid key, or a position such as
 * {@code line 3 column 7}
 * @param value the value found, truncated, or a remark in parentheses
 * @param allowed the description of the allowed values
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
