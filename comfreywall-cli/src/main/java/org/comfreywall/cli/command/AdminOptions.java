package org.comfreywall.cli.command;

import java.net.URI;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.util.Optional;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.comfreywall.cli.admin.AdminTarget;

/**
 * Options that say which daemon to ask.
 */
public final class AdminOptions {

	private static final String VARIABLE = "COMFREYWALL_ADMIN";

	private static final String STANDARD_URL = "http://127.0.0.1:9901";

	@Parameter(names = "--admin", description = "Admin URL of a daemon; else " + VARIABLE + ", else " + STANDARD_URL)
	private String url;

	@Parameter(names = "--trust", description = "PEM file with the certificates to trust, for https")
	private String trust;

	@Parameter(names = "--certificate", description = "PEM file with your certificate, for https")
	private String certificate;

	@Parameter(names = "--key", description = "PEM file with the private key of --certificate")
	private String key;

	@Parameter(names = "--request-timeout", description = "How long one request may take")
	private String timeout = "10s";

	AdminTarget target(Console console) {
		if ((this.certificate == null) != (this.key == null)) {
			throw new ParameterException("Give --certificate and --key together");
		}
		String text = Optional.ofNullable(this.url)
			.or(() -> console.environment().apply(VARIABLE))
			.orElse(STANDARD_URL);
		return new AdminTarget(parse(text), file(this.trust), file(this.certificate), file(this.key),
				DurationOption.parse("--request-timeout", this.timeout));
	}

	private static URI parse(String text) {
		try {
			URI url = new URI(text);
			boolean http = "http".equals(url.getScheme()) || "https".equals(url.getScheme());
			if (http && url.getHost() != null && url.getUserInfo() == null && url.getQuery() == null) {
				return url;
			}
		}
		catch (URISyntaxException ex) {
			// Reported below together with other malformed URLs.
		}
		throw new ParameterException(
				"\"" + text + "\" is not an admin URL; allowed: http://HOST:PORT or https://HOST:PORT");
	}

	private static Optional<Path> file(String name) {
		return Optional.ofNullable(name).map(Path::of);
	}

}
