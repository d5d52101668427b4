package org.comfreywall.common.toml;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.Optional;

/**
 * Reads base URLs of HTTP servers.
 */
public final class HttpUrls {

	private static final int GREATEST_PORT = 65535;

	private HttpUrls() {
	}

	/**
	 * Reads a URL with the scheme {@code http} or {@code https}, a host, and neither
	 * credentials nor query.
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
		boolean http = "http".equals(url.getScheme()) || "https".equals(url.getScheme());
		boolean plain = url.getQuery() == null && url.getFragment() == null && url.getUserInfo() == null;
		return http && plain && url.getHost() != null && url.getPort() <= GREATEST_PORT;
	}

}
