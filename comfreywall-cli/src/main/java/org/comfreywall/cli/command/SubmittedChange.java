package org.comfreywall.cli.command;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.comfreywall.cli.admin.RevisionProgress;

/**
 * Outcome of a change that a daemon has accepted or rejected.
 *
 * @param report the report of the outcome
 * @param revision the revision that the change created; empty after a dry run or a
 * rejection
 */
record SubmittedChange(Report report, OptionalLong revision) {

	Report withProgress(RevisionProgress progress) {
		List<String> lines = new ArrayList<>(this.report.lines());
		JsonObject json = this.report.json()
			.put("members", progress.members())
			.put("inForce", progress.inForce())
			.put("missing", new JsonArray(progress.missing()));
		if (progress.isComplete()) {
			lines.add("in force on all " + progress.members() + " live members");
			return new Report(this.report.exit(), lines, json);
		}
		lines.add("in force on " + progress.inForce() + " of " + progress.members() + " live members; missing: "
				+ String.join(", ", progress.missing()));
		lines.add(
				"next: the change stays accepted and will reach them; check the missing members with comfreywall status");
		return new Report(ExitCode.FAILED, lines, json);
	}

}
