package org.comfreywall.gateway.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/**
 * How the end of a response is marked (RFC 9112, section 6.3).
 */
enum ResponseFraming {

	/** By its {@code Content-Length}. */
	LENGTH,

	/** By its last chunk. */
	CHUNKED,

	/** By the end of its connection, which also ends a response that was broken off. */
	CONNECTION,

	/** There is no response. */
	NONE;

	/**
	 * Returns whether the end of a response can be told from the end of its connection.
	 * @return {@code true} if it has a length or comes in chunks
	 */
	boolean isDelimited() {
		return this == LENGTH || this == CHUNKED;
	}

	static ResponseFraming of(HttpResponse head) {
		if (HttpUtil.isTransferEncodingChunked(head)) {
			return CHUNKED;
		}
		return HttpUtil.isContentLengthSet(head) ? LENGTH : CONNECTION;
	}

}
