package org.comfreywall.gateway.http;

import java.util.Locale;

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

	CallerRequest {
		Preconditions.notNull(method, "method");
		Preconditions.notNull(uri, "uri");
		Preconditions.notNull(version, "version");
		Preconditions.notNull(headers, "headers");
		Preconditions.notNull(body, "body");
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
