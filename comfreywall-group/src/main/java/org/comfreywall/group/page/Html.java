package org.comfreywall.group.page;

/**
 * Escapes text for HTML.
 */
final class Html {

	private Html() {
	}

	static String escape(String text) {
		return text.replace("&", "&amp;")
			.replace("<", "&lt;")
			.replace(">", "&gt;")
			.replace("\"", "&quot;")
			.replace("'", "&#39;");
	}

}
