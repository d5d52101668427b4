package org.comfreywall.entry.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.comfreywall.common.id.BackendServerId;

/**
 * Selects one of several candidates: the server of the request's session if its expected
 * time to first token exceeds the lowest by at most the session affinity margin,
 * otherwise a random one of the candidates within the tie margin of the lowest.
 */
final class CandidateSelector {

	private final RouterSettings settings;

	private final RandomGenerator random;

	CandidateSelector(RouterSettings settings, RandomGenerator random) {
		this.settings = settings;
		this.random = random;
	}

	/**
	 * Selects a candidate.
	 * @param candidates the candidates, at least one
	 * @param sessionServer the last server of the request's session, if any
	 * @return the selection
	 */
	Selection select(List<Candidate> candidates, Optional<BackendServerId> sessionServer) {
		double lowestNanos = minExpectedNanos(candidates);
		Optional<Candidate> affinity = sessionServer
			.flatMap((server) -> affinityCandidate(candidates, server, lowestNanos));
		if (affinity.isPresent()) {
			return new Selection(affinity.get(), 1, true);
		}
		double maxTiedNanos = lowestNanos * (1 + this.settings.relativeTieMargin())
				+ this.settings.constantTieMargin().toNanos();
		List<Candidate> tied = new ArrayList<>(candidates.size());
		for (Candidate candidate : candidates) {
			if (candidate.expectedNanos() <= maxTiedNanos) {
				tied.add(candidate);
			}
		}
		return new Selection(tied.get(this.random.nextInt(tied.size())), tied.size(), false);
	}

	private static double minExpectedNanos(List<Candidate> candidates) {
		double lowestNanos = Double.MAX_VALUE;
		for (Candidate candidate : candidates) {
			lowestNanos = Math.min(lowestNanos, candidate.expectedNanos());
		}
		return lowestNanos;
	}

	private Optional<Candidate> affinityCandidate(List<Candidate> candidates, BackendServerId server,
			double lowestNanos) {
		double maxAffinityNanos = lowestNanos + this.settings.sessionAffinityMargin().toNanos();
		return candidates.stream()
			.filter((candidate) -> candidate.server().id().equals(server)
					&& candidate.expectedNanos() <= maxAffinityNanos)
			.findFirst();
	}

}
