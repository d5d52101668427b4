package org.comfreywall.daemon.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.random.RandomGenerator;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.transport.PeerIdentity;
import org.comfreywall.transport.attempt.AttemptClient;

/**
 * Knows the backend servers and chooses among those that are connected.
 */
final class BackendDirectory {

	private final List<Announced> announced = new CopyOnWriteArrayList<>();

	private final RandomGenerator random;

	BackendDirectory(RandomGenerator random) {
		this.random = Preconditions.notNull(random, "random");
	}

	void announce(BackendServerId id, ServiceId service, AttemptClient client) {
		this.announced.add(new Announced(id, service, client));
	}

	Optional<BackendEndpoint> choose(ServiceId service) {
		List<BackendEndpoint> candidates = new ArrayList<>();
		for (Announced candidate : this.announced) {
			if (candidate.service.equals(service)) {
				candidate.client.peer().map(candidate::at).ifPresent(candidates::add);
			}
		}
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(candidates.get(this.random.nextInt(candidates.size())));
	}

	/**
	 * A backend server as announced.
	 */
	private record Announced(BackendServerId id, ServiceId service, AttemptClient client) {

		BackendEndpoint at(PeerIdentity peer) {
			return new BackendEndpoint(this.id, this.service, peer.incarnation(), this.client);
		}

	}

}
