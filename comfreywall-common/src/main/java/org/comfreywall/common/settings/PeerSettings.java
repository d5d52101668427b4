package org.comfreywall.common.settings;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;

/**
 * Names one control instance.
 *
 * @param name the instance's name
 * @param address the address at which the others reach it
 */
public record PeerSettings(InstanceId name, HostPort address) {

	public PeerSettings {
		Preconditions.notNull(name, "name");
		Preconditions.notNull(address, "address");
	}

}
