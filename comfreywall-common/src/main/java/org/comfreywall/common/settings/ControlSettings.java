package org.comfreywall.common.settings;

import java.nio.file.Path;
import java.util.List;

import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;

/**
 * Settings of the role control.
 *
 * @param listen the address on which other instances connect
 * @param dataFolder the folder that holds the durable state
 * @param peers all control instances, this one among them
 */
public record ControlSettings(HostPort listen, Path dataFolder, List<PeerSettings> peers) {

	public ControlSettings {
		Preconditions.notNull(listen, "listen");
		Preconditions.notNull(dataFolder, "dataFolder");
		peers = List.copyOf(peers);
		Preconditions.check(!peers.isEmpty(), "peers must not be empty");
	}

}
