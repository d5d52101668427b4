package org.comfreywall.transport;

import org.comfreywall.common.util.Preconditions;

/**
 * The address at which a process accepts connections from its peers.
 *
 * @param host an IP number
 * @param port a TCP port
 */
public record PeerAddress(String host, int port) {

	private static final int MAX_PORT = 65535;

	public PeerAddress {
		Preconditions.notBlank(host, "host");
		Preconditions.check(port >= 0 && port <= MAX_PORT, "port must be between 0 and %d: %d", MAX_PORT, port);
	}

	/**
	 * Parses an address in the form {@code host:port}.
	 * @param text the address
	 * @return the parsed address
	 * @throws IllegalArgumentException if the text is not such an address
	 */
	public static PeerAddress parse(String text) {
		Preconditions.notBlank(text, "text");
		int colon = text.lastIndexOf(':');
		Preconditions.check(colon > 0, "address must have the form host:port: %s", text);
		return new PeerAddress(text.substring(0, colon), parsePort(text, text.substring(colon + 1)));
	}

	private static int parsePort(String text, String port) {
		try {
			return Integer.parseInt(port);
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("address must end with a port number: " + text, ex);
		}
	}

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
