package org.comfreywall.gateway.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Reads responses as a caller does that trusts only their framing.
 */
final class RawResponse {

	private static final String SUCCESS = "HTTP/1.1 2";

	private static final String END_OF_HEAD = "\r\n\r\n";

	private static final String LAST_CHUNK = "0\r\n\r\n";

	private RawResponse() {
	}

	/**
	 * Reads until the connection ends.
	 * @param socket the connection
	 * @return what was received, followed by {@link ScriptedServer#RESET} if the
	 * connection was reset before its first byte or within a response without a length or
	 * chunks
	 * @throws IOException if the connection was reset within any other response
	 */
	static String read(Socket socket) throws IOException {
		ByteArrayOutputStream received = new ByteArrayOutputStream();
		InputStream in = socket.getInputStream();
		try {
			int next = in.read();
			while (next >= 0) {
				received.write(next);
				next = in.read();
			}
		}
		catch (SocketException ex) {
			String text = received.toString(StandardCharsets.UTF_8);
			boolean unmarked = text.contains(END_OF_HEAD) && !isMarked(text);
			if (!text.isEmpty() && !unmarked) {
				throw ex;
			}
			return text + ScriptedServer.RESET;
		}
		return received.toString(StandardCharsets.UTF_8);
	}

	/**
	 * Returns whether a caller takes the response for a complete success.
	 * @param response the response, with the end of its connection
	 * @return {@code false} for a failure, before the last chunk or the stated length,
	 * and after a reset
	 */
	static boolean looksComplete(String response) {
		boolean success = response.startsWith(SUCCESS) && response.contains(END_OF_HEAD);
		if (!success || response.endsWith(ScriptedServer.RESET)) {
			return false;
		}
		if (isChunked(response)) {
			return response.endsWith(LAST_CHUNK);
		}
		String length = ScriptedServer.header(response, "Content-Length");
		return length.isEmpty() || rest(response).length() >= Integer.parseInt(length);
	}

	/**
	 * Returns the content of a response.
	 * @param response a response that looks complete
	 * @return the body, without chunk sizes
	 */
	static String body(String response) {
		return isChunked(response) ? joinChunks(rest(response)) : rest(response);
	}

	private static boolean isMarked(String response) {
		return isChunked(response) || !ScriptedServer.header(response, "Content-Length").isEmpty();
	}

	private static boolean isChunked(String response) {
		return ScriptedServer.header(response, "Transfer-Encoding").toLowerCase(Locale.ROOT).equals("chunked");
	}

	private static String rest(String response) {
		return response.substring(response.indexOf(END_OF_HEAD) + END_OF_HEAD.length());
	}

	private static String joinChunks(String chunks) {
		StringBuilder body = new StringBuilder();
		int position = 0;
		while (true) {
			int line = chunks.indexOf("\r\n", position);
			int length = Integer.parseInt(chunks.substring(position, line), 16);
			if (length == 0) {
				return body.toString();
			}
			body.append(chunks, line + 2, line + 2 + length);
			position = line + 4 + length;
		}
	}

}
