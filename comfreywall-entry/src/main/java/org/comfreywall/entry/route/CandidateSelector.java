package org.comfreywall.entry.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.comfreywall.common.id.BackendServerId;

/**
 * Selects one of several candidates: the session's server while it is not much slower
 * than the best, otherwise one of the best at random.
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
	 * @param sessionServer the server of the request's session
	 * @return the selection
	 */
	Selection select(List<Candidate> candidates, Optional<BackendServerId> sessionServer) {
		double best = best(candidates);
		Optional<Candidate> kept = sessionServer.flatMap((server) -> kept(candidates, server, best));
		if (kept.isPresent()) {
			return new Selection(kept.get(), 1, true);
		}
		double limit = best * (1 + this.settings.tieShare()) + this.settings.tieTime().toNanos();
		List<Candidate> equal = new ArrayList<>(candidates.size());
		for (Candidate candidate : candidates) {
			if (candidate.nanos() <= limit) {
				equal.add(candidate);
			}
		}
		return new Selection(equal.get(this.random.nextInt(equal.size())), equal.size(), false);
	}

	private static double best(List<Candidate> candidates) {
		double best = Double.MAX_VALUE;
		for (Candidate candidate : candidates) {
			best = Math.min(best, candidate.nanos());
		}
		return best;
	}

	private Optional<Candidate> kept(List<Candidate> candidates, BackendServerId server, double best) {
		double limit = best + this.settings.sessionYield().toNanos();
		return candidates.stream()
			.filter((candidate) -> candidate.server().id().equals(server) && candidate.nanos() <= limit)
			.findFirst();
	}

}
