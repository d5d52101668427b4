package org.comfreywall.gateway.config;

import java.util.Optional;

import org.comfreywall.common.util.Preconditions;

/**
 * Settings of one service.
 *
 * @param name the service's name
 * @param maxConnections the maximum number of connections that one backend server accepts
 * from all callers together
 * @param engine the shape of the engines, if the backend servers form expert-parallel
 * groups
 */
public record ServiceSettings(String name, int maxConnections, Optional<EngineShape> engine) {

	public ServiceSettings {
		Preconditions.notBlank(name, "name");
		Preconditions.notNull(engine, "engine");
	}

}
