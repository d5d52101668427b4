package org.comfreywall.cli.command;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import io.vertx.core.json.JsonObject;
import org.comfreywall.cli.admin.AdminClient;
import org.comfreywall.cli.admin.ChangeSubmission;
import org.comfreywall.cli.admin.SubmitAccepted;
import org.comfreywall.cli.admin.SubmitConflict;
import org.comfreywall.cli.admin.SubmitResult;
import org.comfreywall.common.config.toml.ConfigurationChange;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;

/**
 * Submits a change and reports its outcome. If no response arrives, the change is resent
 * with the same change id, which the daemon applies at most once.
 */
final class ChangeSubmitter {

	private static final int MAX_SEND_ATTEMPTS = 3;

	private final AdminClient client;

	private final Console console;

	ChangeSubmitter(AdminClient client, Console console) {
		this.client = client;
		this.console = console;
	}

	Result<SubmittedChange> submit(ChangeSubmission change, List<ConfigurationChange> differences) {
		this.console.printNote("change-id " + change.changeId() + " on expected revision " + change.expectedRevision());
		Result<SubmitResult> result = this.client.submit(change);
		for (int sent = 1; sent < MAX_SEND_ATTEMPTS && isResponseLost(result); sent++) {
			this.console.printNote("no response received; resending the change with the same change-id");
			result = this.client.submit(change);
		}
		if (isResponseLost(result)) {
			return Result.failure(outcomeUnknown(result.error().orElseThrow(), change));
		}
		return result.map((outcome) -> toSubmittedChange(outcome, change, differences));
	}

	private static boolean isResponseLost(Result<SubmitResult> result) {
		return result.error().filter((error) -> ExitCode.of(error.code()) == ExitCode.UNREACHABLE).isPresent();
	}

	private static OperationError outcomeUnknown(OperationError error, ChangeSubmission change) {
		return new OperationError(error.code(), error.step(), error.peer(),
				error.message()
						+ "; whether the change was accepted is not known: rerun the same command with --change-id "
						+ change.changeId() + " --expected-revision " + change.expectedRevision()
						+ " to find out; the change is applied at most once");
	}

	private static SubmittedChange toSubmittedChange(SubmitResult outcome, ChangeSubmission change,
			List<ConfigurationChange> differences) {
		JsonObject json = new JsonObject().put("changeId", change.changeId().value())
			.put("expectedRevision", change.expectedRevision())
			.put("dryRun", change.dryRun())
			.put("changes", DiffFormatter.json(differences));
		return (outcome instanceof SubmitConflict conflict) ? conflictReport(conflict, json)
				: acceptedReport((SubmitAccepted) outcome, change, differences, json);
	}

	private static SubmittedChange acceptedReport(SubmitAccepted accepted, ChangeSubmission change,
			List<ConfigurationChange> differences, JsonObject json) {
		List<String> lines = new ArrayList<>(DiffFormatter.lines(differences));
		json.put("revision", accepted.revision()).put("applied", accepted.applied());
		if (accepted.applied()) {
			lines.add("accepted as revision " + accepted.revision() + ", change-id " + change.changeId());
			return new SubmittedChange(Report.ok(lines, json), OptionalLong.of(accepted.revision()));
		}
		if (change.dryRun()) {
			lines.add("would be accepted as revision " + accepted.revision()
					+ "; next: run the command without --dry-run");
			return new SubmittedChange(Report.ok(lines, json), OptionalLong.empty());
		}
		lines.add("not applied; next: compare with comfreywall get and comfreywall history");
		return new SubmittedChange(new Report(ExitCode.FAILED, lines, json), OptionalLong.empty());
	}

	private static SubmittedChange conflictReport(SubmitConflict conflict, JsonObject json) {
		List<String> lines = List.of(
				"conflict: " + describeWinner(conflict) + "; the configuration is at revision " + conflict.revision(),
				conflict.message(),
				"next: run comfreywall get --output FILE, repeat the change in FILE and apply FILE");
		json.put("revision", conflict.revision())
			.put("applied", false)
			.put("winnerChangeId", conflict.winnerChangeId())
			.put("winnerAuthor", conflict.winnerAuthor());
		return new SubmittedChange(new Report(ExitCode.CONFLICT, lines, json), OptionalLong.empty());
	}

	private static String describeWinner(SubmitConflict conflict) {
		return conflict.winnerAuthor().isBlank() ? "another change came first"
				: conflict.winnerAuthor() + " changed the configuration first, change-id " + conflict.winnerChangeId();
	}

}
