package org.comfreywall.gateway.fleet;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

import org.comfreywall.common.lifecycle.Closer;
import org.comfreywall.common.toml.HostPort;

/**
 * Chooses addresses to listen on.
 */
final class FreeAddresses {

	// Below the ports that the operating system hands out to others by itself.
	private static final int LOWEST_PORT = 15_000;

	private static final int HIGHEST_PORT = 32_000;

	private FreeAddresses() {
	}

	/**
	 * Chooses free ports of a host. They differ, as each is held until the last one has
	 * been chosen.
	 * @param host the host's address
	 * @param count the number of ports
	 * @return the addresses
	 * @throws Exception if the host does not exist
	 */
	static List<HostPort> choose(String host, int count) throws Exception {
		InetAddress address = InetAddress.getByName(host);
		List<HostPort> addresses = new ArrayList<>();
		try (Closer closer = new Closer()) {
			for (int i = 0; i < count; i++) {
				addresses.add(new HostPort(host, closer.register(holdFreePort(address)).getLocalPort()));
			}
		}
		return addresses;
	}

	private static ServerSocket holdFreePort(InetAddress address) throws IOException {
		while (true) {
			int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
			try {
				return new ServerSocket(port, 1, address);
			}
			catch (BindException ex) {
				continue;
			}
		}
	}

}
