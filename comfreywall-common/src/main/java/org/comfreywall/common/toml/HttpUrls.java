package org.comfreywall.common.toml;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.Optional;

/**
 * Parses base URLs of HTTP servers.
 */
public final class HttpUrls {

	private static final int MAX_PORT = 65535;

	private HttpUrls() {
	}

	/**
	 * Parses a URL with the scheme {@code http} or {@code https}, a host, and neither
	 * credentials, query nor fragment.
	 * @param text the URL
	 * @return the URL, or empty if it is malformed
	 */
	public static Optional<URI> parse(String text) {
		try {
			return Optional.of(new URI(text)).filter(HttpUrls::isAllowed);
		}
		catch (URISyntaxException ex) {
			return Optional.empty();
		}
	}

	private static boolean isAllowed(URI url) {
		boolean isHttp = "http".equals(url.getScheme()) || "https".equals(url.getScheme());
		boolean hasOnlyPath = url.getQuery() == null && url.getFragment() == null && url.getUserInfo() == null;
		return isHttp && hasOnlyPath && url.getHost() != null && url.getPort() <= MAX_PORT;
	}

}
