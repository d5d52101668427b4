package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** The part of HTTP/1.1 that the stand-ins speak: whole messages with a length or in chunks. */
public final class Http {

	private Http() {
	}

	/**
	 * A message: first line, headers with lower-case names, and body.
	 *
	 * @param first the request line or status line
	 * @param headers the headers
	 * @param body the body
	 */
	public record Message(String first, Map<String, String> headers, byte[] body) {

		public int status() {
			return Integer.parseInt(this.first.split(" ")[1]);
		}

		public String header(String name) {
			return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
		}

		public String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	/** Sends one request on a new connection. Returns null if there is no answer in time. */
	public static Message call(String host, int port, String request, byte[] body, int timeoutMillis) {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(host, port), timeoutMillis);
			socket.setSoTimeout(timeoutMillis);
			OutputStream out = socket.getOutputStream();
			String hostLine = request.contains("\r\nHost:") ? "" : "\r\nHost: " + host;
			out.write((request + hostLine + "\r\nConnection: close\r\nContent-Type: application/json"
					+ "\r\nContent-Length: " + body.length + "\r\n\r\n")
				.getBytes(StandardCharsets.US_ASCII));
			out.write(body);
			out.flush();
			return read(socket.getInputStream());
		}
		catch (IOException ex) {
			return null;
		}
	}

	/** Reads one whole message. Returns null at the end of the stream before it begins. */
	public static Message read(InputStream in) throws IOException {
		String first = line(in);
		if (first == null) {
			return null;
		}
		Map<String, String> headers = new LinkedHashMap<>();
		for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
			for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
				body.write(exactly(in, size));
				line(in);
			}
			line(in);
		}
		else {
			body.write(exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0"))));
		}
		return new Message(first, headers, body.toByteArray());
	}

	private static int chunkSize(InputStream in) throws IOException {
		String line = line(in);
		if (line == null) {
			throw new EOFException("the chunks have no end");
		}
		return Integer.parseInt(line.split(";")[0].trim(), 16);
	}

	private static byte[] exactly(InputStream in, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("the body ends early");
		}
		return bytes;
	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = in.read(); next >= 0; next = in.read()) {
			if (next == '\n') {
				return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
			}
			line.write(next);
		}
		return null;
	}

}
