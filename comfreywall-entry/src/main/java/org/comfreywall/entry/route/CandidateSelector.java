package org.comfreywall.entry.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.comfreywall.common.id.BackendServerId;

/**
 * Selects one of several candidates: the session's server while its expected time is
 * within a margin of the lowest (session affinity), otherwise a random one of those tied
 * for the lowest.
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
		double best = minExpectedNanos(candidates);
		Optional<Candidate> affinity = sessionServer.flatMap((server) -> affinityCandidate(candidates, server, best));
		if (affinity.isPresent()) {
			return new Selection(affinity.get(), 1, true);
		}
		double limit = best * (1 + this.settings.relativeTieMargin()) + this.settings.constantTieMargin().toNanos();
		List<Candidate> tied = new ArrayList<>(candidates.size());
		for (Candidate candidate : candidates) {
			if (candidate.expectedNanos() <= limit) {
				tied.add(candidate);
			}
		}
		return new Selection(tied.get(this.random.nextInt(tied.size())), tied.size(), false);
	}

	private static double minExpectedNanos(List<Candidate> candidates) {
		double best = Double.MAX_VALUE;
		for (Candidate candidate : candidates) {
			best = Math.min(best, candidate.expectedNanos());
		}
		return best;
	}

	private Optional<Candidate> affinityCandidate(List<Candidate> candidates, BackendServerId server, double best) {
		double limit = best + this.settings.sessionAffinityMargin().toNanos();
		return candidates.stream()
			.filter((candidate) -> candidate.server().id().equals(server) && candidate.expectedNanos() <= limit)
			.findFirst();
	}

}
