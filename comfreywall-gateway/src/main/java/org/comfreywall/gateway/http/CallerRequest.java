package org.comfreywall.gateway.http;

import java.util.Locale;
import java.util.Map;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.comfreywall.common.util.Preconditions;

/**
 * A request of a caller that was read completely.
 *
 * @param method its method
 * @param uri its path and query as sent
 * @param headers its headers
 * @param version the version of the protocol that the caller speaks
 * @param body its body
 * @param keepAlive whether the caller wants the connection to stay open
 * @param arrival when its last byte was read, in nanoseconds
 */
record CallerRequest(HttpMethod method, String uri, HttpVersion version, HttpHeaders headers, byte[] body,
		boolean keepAlive, long arrival) {

	/** An entry of a header map, two strings and their arrays. */
	private static final int HEADER_BYTES = 160;

	CallerRequest {
		Preconditions.notNull(method, "method");
		Preconditions.notNull(uri, "uri");
		Preconditions.notNull(version, "version");
		Preconditions.notNull(headers, "headers");
		Preconditions.notNull(body, "body");
	}

	/**
	 * Returns the memory that the head of a request takes.
	 * @param uri the path and query
	 * @param headers the headers
	 * @return an estimate in bytes
	 */
	static long headBytes(String uri, HttpHeaders headers) {
		long bytes = uri.length();
		for (Map.Entry<String, String> header : headers) {
			bytes += HEADER_BYTES + header.getKey().length() + header.getValue().length();
		}
		return bytes;
	}

	/**
	 * Returns the memory that the request takes while it is in hand.
	 * @return the bytes of its body and an estimate of those of its head
	 */
	long heldBytes() {
		return this.body.length + headBytes(this.uri, this.headers);
	}

	String host() {
		String host = this.headers.get(HttpHeaderNames.HOST, "").toLowerCase(Locale.ROOT);
		int colon = host.lastIndexOf(':');
		return (colon > 0) ? host.substring(0, colon) : host;
	}

	/**
	 * Returns whether the caller understands chunks.
	 * @return {@code false} before HTTP/1.1
	 */
	boolean allowsChunks() {
		return this.version.compareTo(HttpVersion.HTTP_1_1) >= 0;
	}

	String path() {
		int query = this.uri.indexOf('?');
		return (query >= 0) ? this.uri.substring(0, query) : this.uri;
	}

}
