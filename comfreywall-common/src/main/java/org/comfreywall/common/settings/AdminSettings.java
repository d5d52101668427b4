package org.comfreywall.common.settings;

import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;

/**
 * Settings of the admin listener.
 *
 * @param listen the address on which operators' requests are accepted
 */
public record AdminSettings(HostPort listen) {

	public AdminSettings {
		Preconditions.notNull(listen, "listen");
	}

}
