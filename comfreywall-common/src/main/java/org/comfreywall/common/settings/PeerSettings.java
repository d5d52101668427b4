package org.comfreywall.common.settings;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;

/**
 * Name and address of one control instance.
 *
 * @param name the instance's name
 * @param address the address to which the other control instances connect
 */
public record PeerSettings(InstanceId name, HostPort address) {

	public PeerSettings {
		Preconditions.notNull(name, "name");
		Preconditions.notNull(address, "address");
	}

}
