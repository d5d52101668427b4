package org.comfreywall.cli.command;

import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.comfreywall.cli.admin.AdminTarget;
import org.comfreywall.common.toml.HttpUrls;

/**
 * Options with the address, TLS files and timeout for calls to a daemon.
 */
public final class AdminOptions {

	private static final String URL_VARIABLE = "COMFREYWALL_ADMIN";

	private static final String DEFAULT_URL = "http://127.0.0.1:9901";

	@Parameter(names = "--admin",
			description = "Admin URL of a daemon; default: $" + URL_VARIABLE + ", otherwise " + DEFAULT_URL)
	private String url;

	@Parameter(names = "--trust", description = "PEM file with the trusted certificates, for https")
	private String trust;

	@Parameter(names = "--certificate", description = "PEM file with the client certificate, for https")
	private String certificate;

	@Parameter(names = "--key", description = "PEM file with the private key of --certificate")
	private String key;

	@Parameter(names = "--request-timeout", description = "Timeout of one request, such as 500ms or 10s")
	private String timeout = "10s";

	AdminTarget target(Console console) {
		if ((this.certificate == null) != (this.key == null)) {
			throw new ParameterException("--certificate and --key must be given together");
		}
		String text = Optional.ofNullable(this.url)
			.or(() -> console.environment().apply(URL_VARIABLE))
			.orElse(DEFAULT_URL);
		return new AdminTarget(parseUrl(text), readableFile("--trust", this.trust),
				readableFile("--certificate", this.certificate), readableFile("--key", this.key),
				DurationOption.parse("--request-timeout", this.timeout));
	}

	private static URI parseUrl(String text) {
		return HttpUrls.parse(text)
			.orElseThrow(() -> new ParameterException(
					"\"" + text + "\" is not an admin URL; allowed: http://HOST:PORT or https://HOST:PORT"));
	}

	private static Optional<Path> readableFile(String option, String name) {
		Optional<Path> file = Optional.ofNullable(name).map(Path::of);
		if (file.isPresent() && !Files.isReadable(file.get())) {
			throw new ParameterException(option + " " + name + " cannot be read; give a readable PEM file");
		}
		return file;
	}

}
