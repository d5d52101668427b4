package org.comfreywall.entry.route;

import java.util.List;

import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.entry.kv.KvTransfer;

/**
 * Creates the decision records of a router.
 */
final class RouteDecisionRecords {

	private static final long NANOS_PER_MICRO = 1000;

	private RouteDecisionRecords() {
	}

	static DecisionRecord forChoice(RouteRequest request, Selection selection, int candidates, long now) {
		Candidate chosen = selection.candidate();
		LoadEstimate load = chosen.server().load();
		return new DecisionRecord(DecisionKind.ROUTE, request.request().value(), chosen.server().id().value(), List.of(
				Field.of("expected-us", micros(chosen.expectedNanos())),
				Field.of("wait-us", micros(chosen.waitNanos())), Field.of("prompt-tokens", request.promptTokens()),
				Field.of("cached-tokens", (long) chosen.cachedTokens()),
				Field.of("requests", load.estimateRequests(now)),
				Field.of("report-age-us", load.reportAge(now) / NANOS_PER_MICRO),
				Field.of("priority", request.priority()), Field.of("candidates", candidates),
				Field.of("equal", selection.tiedCandidates()), Field.of("by-session", selection.bySessionAffinity()),
				Field.of("kv", (chosen.kvPlan() instanceof KvTransfer transfer) ? transfer.source() : "recompute")));
	}

	static DecisionRecord forRefusal(RouteRequest request, int known, int subset) {
		return DecisionRecord.of(DecisionKind.ROUTE, request.request().value(), "none", Field.of("servers", known),
				Field.of("subset", subset), Field.of("excluded", request.excluded().size()));
	}

	private static long micros(double nanos) {
		return (long) nanos / NANOS_PER_MICRO;
	}

}
