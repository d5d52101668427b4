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
 * @param warmUp how cold servers behave; empty if they tolerate any number of requests
 * @param prefill how the engines read prompts, if known
 */
public record ServiceSettings(String name, int maxConnections, Optional<EngineShape> engine, Optional<WarmUp> warmUp,
		Optional<PrefillShape> prefill) {

	public ServiceSettings {
		Preconditions.notBlank(name, "name");
		Preconditions.notNull(engine, "engine");
		Preconditions.notNull(warmUp, "warmUp");
		Preconditions.notNull(prefill, "prefill");
	}

	/**
	 * Creates the settings of a service whose cold servers tolerate any number of
	 * requests, and whose engines' reading speed is unknown.
	 * @param name the service's name
	 * @param maxConnections the maximum number of connections of one backend server
	 * @param engine the shape of the engines, if the backend servers form groups
	 */
	public ServiceSettings(String name, int maxConnections, Optional<EngineShape> engine) {
		this(name, maxConnections, engine, Optional.empty(), Optional.empty());
	}

}
