package org.comfreywall.common.toml;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.comfreywall.common.util.Preconditions;

/**
 * A network address: an IP address or {@code localhost}, and a port.
 *
 * @param host the IP address, without brackets, or {@code localhost}
 * @param port the port, 0 to 65535; for a listener, 0 requests an ephemeral port
 */
public record HostPort(String host, int port) {

	private static final int MAX_PORT = 65535;

	private static final String IPV4_OCTET = "(25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)";

	private static final Pattern IPV4 = Pattern.compile(IPV4_OCTET + "(\\." + IPV4_OCTET + "){3}");

	private static final Pattern IPV6 = Pattern
		.compile("(?=.*:.*:)(?!.*::.*::)[0-9a-f]{0,4}(:[0-9a-f]{0,4}){2,7}(%[a-z0-9]{1,15})?");

	private static final Pattern ADDRESS = Pattern.compile("(?:\\[([^\\]]{2,60})\\]|([^:]{1,60})):(\\d{1,5})");

	public HostPort {
		Preconditions.notBlank(host, "host");
		Preconditions.check(isHost(host), "host must be an IP address or localhost: %s", host);
		Preconditions.check(port >= 0 && port <= MAX_PORT, "port must be 0 to 65535: %d", port);
	}

	/**
	 * Parses an address such as {@code 10.0.0.1:7400} or {@code [::1]:7400}.
	 * @param text the address
	 * @return the address, or empty if it is malformed
	 */
	public static Optional<HostPort> parse(String text) {
		Matcher matcher = ADDRESS.matcher(text);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		boolean bracketed = matcher.group(1) != null;
		String host = bracketed ? matcher.group(1) : matcher.group(2);
		int port = Integer.parseInt(matcher.group(3));
		boolean valid = port <= MAX_PORT && isHost(host) && bracketed == host.contains(":");
		return valid ? Optional.of(new HostPort(host, port)) : Optional.empty();
	}

	/**
	 * Creates an address from a host and a port.
	 * @param host the host
	 * @param port the port
	 * @return the address, or empty if either is malformed
	 */
	public static Optional<HostPort> of(String host, int port) {
		boolean valid = isHost(host) && port >= 0 && port <= MAX_PORT;
		return valid ? Optional.of(new HostPort(host, port)) : Optional.empty();
	}

	private static boolean isHost(String host) {
		return host.equals("localhost") || IPV4.matcher(host).matches() || IPV6.matcher(host).matches();
	}

	@Override
	public String toString() {
		return (this.host.contains(":") ? "[" + this.host + "]" : this.host) + ":" + this.port;
	}

}
