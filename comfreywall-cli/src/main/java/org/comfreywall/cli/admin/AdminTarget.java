package org.comfreywall.cli.admin;

import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;

import org.comfreywall.common.util.Preconditions;

/**
 * Where a daemon's admin API is and how to reach it.
 *
 * @param url the base URL
 * @param trust the certificates that the daemon's certificate must lead to, PEM
 * @param certificate the operator's own certificate, PEM
 * @param key the private key of the operator's certificate, PEM
 * @param timeout how long one request may take
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

	String path(String relative) {
		String base = (this.url.getRawPath() != null) ? this.url.getRawPath().replaceAll("/+$", "") : "";
		return base + relative;
	}

}
