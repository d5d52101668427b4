package org.comfreywall.cli.admin;

import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;

import org.comfreywall.common.util.Preconditions;

/**
 * Address, TLS files and timeout for calls to a daemon's admin API.
 *
 * @param url the base URL
 * @param trust the PEM file with the trust anchors for the daemon's certificate
 * @param certificate the PEM file with the operator's client certificate
 * @param key the PEM file with the private key of the client certificate
 * @param timeout the timeout for connecting and for one whole request, at least 1 ms
 */
public record AdminTarget(URI url, Optional<Path> trust, Optional<Path> certificate, Optional<Path> key,
		Duration timeout) {

	private static final int HTTP_PORT = 80;

	private static final int HTTPS_PORT = 443;

	public AdminTarget {
		Preconditions.notNull(url, "url");
		Preconditions.notBlank(url.getHost(), "url's host");
		Preconditions.check(certificate.isPresent() == key.isPresent(), "certificate and key must be given together");
		Preconditions.check(timeout.toMillis() > 0, "timeout must be at least 1 ms: %s", timeout);
	}

	boolean isTls() {
		return "https".equals(this.url.getScheme());
	}

	int port() {
		if (this.url.getPort() >= 0) {
			return this.url.getPort();
		}
		return isTls() ? HTTPS_PORT : HTTP_PORT;
	}

	String host() {
		return this.url.getHost().replaceAll("[\\[\\]]", "");
	}

	String resolvePath(String relative) {
		String base = (this.url.getRawPath() != null) ? this.url.getRawPath().replaceAll("/+$", "") : "";
		return base + relative;
	}

}
