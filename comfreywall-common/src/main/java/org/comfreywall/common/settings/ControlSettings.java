package org.comfreywall.common.settings;

import java.nio.file.Path;
import java.util.List;

import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;

/**
 * Settings of the control role.
 *
 * @param listen the address on which connections of other instances are accepted
 * @param dataFolder the folder that stores the durable state
 * @param peers all control instances, including this one
 */
public record ControlSettings(HostPort listen, Path dataFolder, List<PeerSettings> peers) {

	public ControlSettings {
		Preconditions.notNull(listen, "listen");
		Preconditions.notNull(dataFolder, "dataFolder");
		peers = List.copyOf(peers);
		Preconditions.check(!peers.isEmpty(), "peers must not be empty");
	}

}
