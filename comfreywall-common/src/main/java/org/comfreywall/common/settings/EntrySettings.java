package org.comfreywall.common.settings;

import java.time.Duration;
import java.util.List;

import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;

/**
 * Settings of the role entry.
 *
 * @param listen the address on which callers' requests are taken
 * @param control the addresses of the control instances
 * @param maxBodyBytes the largest request body
 * @param maxHeaderBytes the largest request head, all headers together
 * @param headerTimeout how long a caller may take to send a request's head
 * @param bodyTimeout how long a caller may take to send a request's body
 * @param requestTimeout the deadline of requests that bring none
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
