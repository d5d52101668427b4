package org.comfreywall.common.settings;

import java.time.Duration;
import java.util.List;

import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;

/**
 * Settings of the entry role.
 *
 * @param listen the address on which callers' requests are accepted
 * @param control the addresses of the control instances
 * @param maxBodyBytes the maximum size of a request body in bytes
 * @param maxHeaderBytes the maximum size of all headers of a request together in bytes
 * @param headerTimeout the time limit for receiving a request's headers
 * @param bodyTimeout the time limit for receiving a request's body
 * @param requestTimeout the timeout of requests that specify no deadline
 */
public record EntrySettings(HostPort listen, List<HostPort> control, long maxBodyBytes, int maxHeaderBytes,
		Duration headerTimeout, Duration bodyTimeout, Duration requestTimeout) {

	public EntrySettings {
		Preconditions.notNull(listen, "listen");
		control = List.copyOf(control);
		Preconditions.check(!control.isEmpty(), "control must not be empty");
		Preconditions.check(maxBodyBytes >= 1, "maxBodyBytes must be at least 1: %d", maxBodyBytes);
		Preconditions.check(maxHeaderBytes >= 1, "maxHeaderBytes must be at least 1: %d", maxHeaderBytes);
		Preconditions.notNull(headerTimeout, "headerTimeout");
		Preconditions.notNull(bodyTimeout, "bodyTimeout");
		Preconditions.notNull(requestTimeout, "requestTimeout");
	}

}
