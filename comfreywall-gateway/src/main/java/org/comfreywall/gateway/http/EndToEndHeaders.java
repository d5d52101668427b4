package org.comfreywall.gateway.http;

import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Copies end-to-end headers, without the hop-by-hop headers that concern one connection
 * only.
 */
final class EndToEndHeaders {

	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	private EndToEndHeaders() {
	}

	static void copy(HttpHeaders from, HttpHeaders to) {
		Set<String> listed = new HashSet<>();
		for (String value : from.getAll(HttpHeaderNames.CONNECTION)) {
			for (String name : value.split(",")) {
				listed.add(name.trim().toLowerCase(Locale.ROOT));
			}
		}
		for (Map.Entry<String, String> header : from) {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!HOP_BY_HOP.contains(name) && !listed.contains(name)) {
				to.add(header.getKey(), header.getValue());
			}
		}
	}

}
