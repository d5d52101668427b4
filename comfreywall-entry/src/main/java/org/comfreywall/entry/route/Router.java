package org.comfreywall.entry.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.util.LruMap;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.entry.prefix.PrefixIndex;
import org.comfreywall.entry.prefix.PrefixMatch;

/**
 * Chooses the backend servers for the requests of one service at one entry, by expected
 * time to first token.
 * <p>
 * The driver passes events to {@link #on}, executes the returned commands, and calls
 * {@link #choose} for each attempt. Changes of the subset take effect with the next
 * {@link TimePassed}, except that a leaving server is removed at once, and a new server
 * is added at once while all known servers fit into the subset. All times are nanoseconds
 * of one monotonic clock. The cost of a choice is linear in the size of the subset and
 * independent of the number of known servers. Not thread-safe.
 */
public final class Router {

	private final RouterSettings settings;

	private final DecisionListener listener;

	private final Invariants invariants = new Invariants();

	private final ServerTable table;

	private final Subset subset;

	private final PrefixIndex prefixes;

	private final OutlierEjector ejector;

	private final SlowStart slowStart;

	private final CandidateEvaluator evaluator;

	private final CandidateSelector selector;

	private final Map<SessionId, BackendServerId> sessions;

	private final Map<AttemptId, InFlightAttempt> inFlight = new HashMap<>();

	/**
	 * Creates a router without backend servers.
	 * @param self this entry
	 * @param settings the settings
	 * @param distances the distances from this entry to the failure domains
	 * @param random the source of randomness
	 * @param listener receives the record of each choice
	 */
	public Router(InstanceId self, RouterSettings settings, Distances distances, RandomGenerator random,
			DecisionListener listener) {
		Preconditions.notNull(self, "self");
		Preconditions.notNull(distances, "distances");
		Preconditions.notNull(random, "random");
		this.settings = Preconditions.notNull(settings, "settings");
		this.listener = Preconditions.notNull(listener, "listener");
		this.table = new ServerTable(settings.maxServers());
		this.subset = new Subset(self, new SubsetAssigner(settings.subsetSize()));
		this.prefixes = new PrefixIndex(settings.prefix());
		this.ejector = new OutlierEjector(settings.ejection());
		this.slowStart = new SlowStart(settings.slowStart().toNanos(), random);
		this.evaluator = new CandidateEvaluator(distances, settings.kvPlanner());
		this.selector = new CandidateSelector(settings, random);
		this.sessions = new LruMap<>(settings.maxSessions());
	}

	/**
	 * Applies an event.
	 * @param event the event
	 * @param now the present time in nanoseconds
	 * @return the commands to execute, often none
	 */
	public List<RouterCommand> on(RouterEvent event, long now) {
		Preconditions.notNull(event, "event");
		List<RouterCommand> commands = new ArrayList<>();
		if (event instanceof LoadReported reported) {
			onReport(reported.report());
		}
		else if (event instanceof CacheEventReceived received) {
			this.prefixes.onEvent(received.event(), now).map(ResyncCache::new).ifPresent(commands::add);
		}
		else if (event instanceof TimePassed) {
			refreshSubset(now).ifPresent(commands::add);
		}
		else if (event instanceof EntriesChanged changed) {
			this.subset.setEntries(changed.entries());
		}
		else {
			onServerOrAttempt(event, now, commands);
		}
		return commands;
	}

	/**
	 * Chooses a backend server for an attempt. The driver passes {@link AttemptSent} to
	 * {@link #on} when it sends the attempt.
	 * @param request what the choice depends on
	 * @param now the present time in nanoseconds
	 * @return the choice, or empty if no server is eligible or too many attempts are in
	 * flight
	 */
	public Optional<RouteChoice> choose(RouteRequest request, long now) {
		Preconditions.notNull(request, "request");
		if (this.subset.members().isEmpty()) {
			return recordRefusal(request);
		}
		List<ServerState> eligible = eligibleServers(request, now);
		if (eligible.isEmpty() || this.inFlight.size() >= this.settings.maxInFlight()) {
			return recordRefusal(request);
		}
		List<ServerState> included = this.slowStart.filterServers(eligible, now);
		PrefixMatch match = this.prefixes.match(request.chain(), now);
		List<Candidate> candidates = this.evaluator.evaluate(included, request, match, now);
		Selection selection = this.selector.select(candidates, request.session().map(this.sessions::get));
		return satisfiesInvariants(selection.candidate().server(), request, now)
				? Optional.of(recordChoice(request, selection, candidates.size(), now)) : recordRefusal(request);
	}

	/**
	 * Returns the number of attempts in flight on a server.
	 * @param server the backend server
	 * @return the number sent by this entry that have not ended
	 */
	public int inFlight(BackendServerId server) {
		return this.table.find(server).map((state) -> state.load().inFlight()).orElse(0);
	}

	/**
	 * Returns whether a backend server is known, including one that is leaving.
	 * @param server the backend server
	 * @return {@code true} from its announcement until its removal
	 */
	public boolean isAnnounced(BackendServerId server) {
		return this.table.find(server).isPresent();
	}

	/**
	 * Returns the backend servers in use.
	 * @return the subset's servers, sorted
	 */
	public List<BackendServerId> subset() {
		return this.subset.members().stream().map(ServerState::id).toList();
	}

	/**
	 * Returns the backend servers that are ejected.
	 * @param now the present time in nanoseconds
	 * @return the ejected servers of the subset, sorted
	 */
	public List<BackendServerId> ejected(long now) {
		return this.subset.members().stream().filter((server) -> server.isEjected(now)).map(ServerState::id).toList();
	}

	/**
	 * Returns the sizes of the router's tables, for metrics.
	 * @return the sizes, each at most the maximum in the settings
	 */
	public RouterStatus status() {
		return new RouterStatus(this.table.all().size(), this.subset.members().size(), this.sessions.size(),
				this.inFlight.size(), this.prefixes.locationCount());
	}

	/**
	 * Returns the number of violated invariants.
	 * @return the count, above 0 only if this class has a bug
	 */
	public long breaches() {
		return this.invariants.violations();
	}

	private void onServerOrAttempt(RouterEvent event, long now, List<RouterCommand> commands) {
		if (event instanceof ServerAnnounced announced) {
			onAnnounced(announced, now).ifPresent(commands::add);
		}
		else if (event instanceof ServerLeaving leaving) {
			this.table.markLeaving(leaving.server(), leaving.incarnation());
			this.table.find(leaving.server())
				.filter(ServerState::isLeaving)
				.ifPresent((state) -> removeFromSubset(state, now));
		}
		else if (event instanceof ServerRemoved removed) {
			this.table.remove(removed.server(), removed.incarnation()).ifPresent((state) -> onRemoved(state, now));
		}
		else if (event instanceof AttemptSent sent) {
			onSent(sent, now);
		}
		else if (event instanceof FirstTokenReceived received) {
			Optional.ofNullable(this.inFlight.get(received.attempt()))
				.ifPresent((attempt) -> attempt.server().load().markPromptComputed(attempt));
		}
		else if (event instanceof AttemptFinished finished) {
			endAttempt(finished.attempt(), now).ifPresent((attempt) -> attempt.server().recordSuccess());
		}
		else if (event instanceof AttemptFailed failed) {
			endAttempt(failed.attempt(), now).flatMap((attempt) -> onFailed(attempt.server(), now))
				.ifPresent(commands::add);
		}
	}

	private Optional<RouterCommand> onAnnounced(ServerAnnounced announced, long now) {
		Optional<ServerState> before = this.table.find(announced.server());
		if (!this.table.applyAnnouncement(announced, now)) {
			return Optional.empty();
		}
		before.ifPresent((state) -> removeFromSubset(state, now));
		this.prefixes.addServer(announced.server(), announced.incarnation());
		this.subset.markOutdated();
		return (this.table.all().size() <= this.settings.subsetSize()) ? refreshSubset(now) : Optional.empty();
	}

	private void onRemoved(ServerState state, long now) {
		this.prefixes.removeServer(state.id());
		removeFromSubset(state, now);
	}

	private void removeFromSubset(ServerState state, long now) {
		this.subset.remove(state);
		this.ejector.enforceMaxShare(this.subset.members(), now);
	}

	private void onReport(LoadReport report) {
		this.table.find(report.server(), report.incarnation()).ifPresent((state) -> state.load().applyReport(report));
	}

	private Optional<RouterCommand> refreshSubset(long now) {
		Optional<SubsetChanged> change = this.subset.refresh(this.table);
		this.ejector.enforceMaxShare(this.subset.members(), now);
		return change.map(RouterCommand.class::cast);
	}

	private void onSent(AttemptSent sent, long now) {
		RouteChoice choice = sent.choice();
		Optional<ServerState> server = this.table.find(choice.server(), choice.incarnation());
		if (server.isEmpty() || this.inFlight.containsKey(sent.attempt())) {
			return;
		}
		InFlightAttempt attempt = new InFlightAttempt(sent.attempt(), server.get(), sent.request().priority(),
				choice.uncachedTokens(), now);
		this.inFlight.put(sent.attempt(), attempt);
		server.get().load().addAttempt(attempt);
		this.prefixes.recordSentPrompt(choice.server(), sent.request().chain(), now);
		sent.request().session().ifPresent((session) -> this.sessions.put(session, choice.server()));
	}

	private Optional<InFlightAttempt> endAttempt(AttemptId attempt, long now) {
		Optional<InFlightAttempt> ended = Optional.ofNullable(this.inFlight.remove(attempt));
		ended.ifPresent((sent) -> sent.server().load().removeAttempt(sent, now));
		return ended
			.filter((sent) -> this.invariants.holds(sent.server().load().inFlight() >= 0, "in-flight-not-negative"));
	}

	private Optional<RouterCommand> onFailed(ServerState server, long now) {
		return this.ejector.recordFailure(server, this.subset.members(), now)
			.map((duration) -> new ServerEjected(server.id(), duration));
	}

	private List<ServerState> eligibleServers(RouteRequest request, long now) {
		List<ServerState> eligible = new ArrayList<>(this.subset.members().size());
		for (ServerState server : this.subset.members()) {
			if (!server.isLeaving() && !server.isEjected(now) && !request.excluded().contains(server.id())) {
				eligible.add(server);
			}
		}
		return eligible;
	}

	private boolean satisfiesInvariants(ServerState server, RouteRequest request, long now) {
		boolean known = this.table.find(server.id(), server.incarnation()).isPresent();
		return this.invariants.holds(known && !server.isLeaving(), "chosen-server-takes-work")
				&& this.invariants.holds(!server.isEjected(now), "chosen-server-not-ejected")
				&& this.invariants.holds(!request.excluded().contains(server.id()), "chosen-server-not-excluded")
				&& this.invariants.holds(this.ejector.isWithinMaxShare(this.subset.members(), now),
						"ejected-share-bounded");
	}

	private RouteChoice recordChoice(RouteRequest request, Selection selection, int candidates, long now) {
		Candidate chosen = selection.candidate();
		DecisionRecord record = RouteDecisionRecords.forChoice(request, selection, candidates, now);
		this.listener.onDecision(record);
		return new RouteChoice(chosen.server().id(), chosen.server().incarnation(), (long) chosen.expectedNanos(),
				(long) chosen.uncachedTokens(), chosen.kvPlan(), record);
	}

	private Optional<RouteChoice> recordRefusal(RouteRequest request) {
		this.listener.onDecision(
				RouteDecisionRecords.forRefusal(request, this.table.all().size(), this.subset.members().size()));
		return Optional.empty();
	}

}
