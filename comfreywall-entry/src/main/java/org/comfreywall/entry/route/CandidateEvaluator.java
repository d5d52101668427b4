package org.comfreywall.entry.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.comfreywall.entry.kv.KvPlan;
import org.comfreywall.entry.kv.KvPlanner;
import org.comfreywall.entry.kv.KvSource;
import org.comfreywall.entry.kv.KvTransfer;
import org.comfreywall.entry.kv.Recompute;
import org.comfreywall.entry.prefix.PrefixMatch;

/**
 * Estimates the time to first token on each backend server: the wait before the prompt is
 * computed, the time to complete its key-value cache, and one step at the present
 * occupancy.
 */
final class CandidateEvaluator {

	private static final double NANOS_PER_SECOND = 1e9;

	private final Distances distances;

	private final KvPlanner planner;

	CandidateEvaluator(Distances distances, KvPlanner planner) {
		this.distances = distances;
		this.planner = planner;
	}

	List<Candidate> evaluate(List<ServerState> servers, RouteRequest request, PrefixMatch match, long now) {
		Optional<ServerState> exporter = findExporter(servers, match);
		List<Candidate> candidates = new ArrayList<>(servers.size());
		for (ServerState server : servers) {
			candidates.add(evaluate(server, request, match, exporter, now));
		}
		return candidates;
	}

	private Candidate evaluate(ServerState server, RouteRequest request, PrefixMatch match,
			Optional<ServerState> exporter, long now) {
		LoadEstimate load = server.load();
		double rate = load.tokensPerSecond();
		double cached = Math.min(request.promptTokens(), match.cachedTokens(server.id()));
		KvPlan plan = planKvCache(server, request.promptTokens(), cached, match, exporter);
		double imported = (plan instanceof KvTransfer transfer) ? transfer.tokens() : 0;
		double queue = load.tokensAhead(request.priority(), now) / rate * NANOS_PER_SECOND;
		double wait = 2.0 * this.distances.oneWayNanos(server.domain()) + queue + load.slotWaitNanos(now);
		double occupancy = (double) load.estimateRequests(now) / server.profile().slots();
		double step = load.stepNanos() * (1 + occupancy);
		double uncached = request.promptTokens() - cached - imported;
		return new Candidate(server, wait + plan.expectedNanos() + step, wait, cached, uncached, plan);
	}

	private KvPlan planKvCache(ServerState server, double promptTokens, double cached, PrefixMatch match,
			Optional<ServerState> exporter) {
		double rate = server.load().tokensPerSecond();
		if (server.profile().supportsCacheTransfer() && exporter.isPresent() && exporter.get() != server) {
			ServerState from = exporter.get();
			KvSource source = new KvSource(from.id(), Math.min(promptTokens, match.cachedTokens(from.id())),
					from.domain().equals(server.domain()));
			return this.planner.plan(promptTokens, cached, rate, source);
		}
		return new Recompute((long) ((promptTokens - cached) / rate * NANOS_PER_SECOND));
	}

	private static Optional<ServerState> findExporter(List<ServerState> servers, PrefixMatch match) {
		ServerState best = null;
		for (ServerState server : servers) {
			if (server.profile().supportsCacheTransfer()
					&& (best == null || match.cachedTokens(server.id()) > match.cachedTokens(best.id()))) {
				best = server;
			}
		}
		return Optional.ofNullable(best);
	}

}
