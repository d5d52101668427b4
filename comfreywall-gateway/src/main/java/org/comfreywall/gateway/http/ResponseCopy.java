package org.comfreywall.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds a copy of a response in the body of a response to the same request.
 */
final class ResponseCopy {

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.\\d \\d{3}[^\r\n]*\r\n");

	private static final String END_OF_HEAD = "\r\n\r\n";

	private ResponseCopy() {
	}

	/**
	 * Returns whether a body contains the head of a response to the request. Text about
	 * HTTP is no such head, as it does not name the request.
	 * @param body the body
	 * @param header the name of the header with the request's identifier
	 * @param request the identifier
	 * @return {@code true} if there is a status line whose head has that header
	 */
	static boolean isIn(byte[] body, String header, String request) {
		String text = new String(body, StandardCharsets.ISO_8859_1);
		Matcher statusLine = STATUS_LINE.matcher(text);
		Pattern identifier = Pattern.compile("\r\n" + Pattern.quote(header) + ": *" + Pattern.quote(request) + " *\r\n",
				Pattern.CASE_INSENSITIVE);
		while (statusLine.find()) {
			int end = text.indexOf(END_OF_HEAD, statusLine.end() - 2);
			int last = (end >= 0) ? end + 2 : text.length();
			if (identifier.matcher(text).region(statusLine.end() - 2, last).find()) {
				return true;
			}
		}
		return false;
	}

}
