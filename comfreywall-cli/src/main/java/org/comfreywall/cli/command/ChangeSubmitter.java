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
 * Sends a change, again under the same change id while the answer is lost, and tells what
 * became of it.
 */
final class ChangeSubmitter {

	private static final int GREATEST_SENDS = 3;

	private final AdminClient client;

	private final Console console;

	ChangeSubmitter(AdminClient client, Console console) {
		this.client = client;
		this.console = console;
	}

	Result<SubmittedChange> submit(ChangeSubmission change, List<ConfigurationChange> differences) {
		this.console.note("change-id " + change.changeId() + " on expected revision " + change.expectedRevision());
		Result<SubmitResult> result = this.client.submit(change);
		for (int sent = 1; sent < GREATEST_SENDS && isLost(result); sent++) {
			this.console.note("the answer was lost; sending the same change again");
			result = this.client.submit(change);
		}
		if (isLost(result)) {
			return Result.failure(lost(result.error().orElseThrow(), change));
		}
		return result.map((outcome) -> submitted(outcome, change, differences));
	}

	private static boolean isLost(Result<SubmitResult> result) {
		return result.error().filter((error) -> ExitCode.of(error.code()) == ExitCode.UNREACHABLE).isPresent();
	}

	private static OperationError lost(OperationError error, ChangeSubmission change) {
		return new OperationError(error.code(), error.step(), error.peer(),
				error.message()
						+ "; whether the change was accepted is not known: run the same command with --change-id "
						+ change.changeId() + " --expected-revision " + change.expectedRevision()
						+ " to learn it, which makes the change at most once");
	}

	private static SubmittedChange submitted(SubmitResult outcome, ChangeSubmission change,
			List<ConfigurationChange> differences) {
		JsonObject json = new JsonObject().put("changeId", change.changeId().value())
			.put("expectedRevision", change.expectedRevision())
			.put("dryRun", change.dryRun())
			.put("changes", DiffFormatter.json(differences));
		return (outcome instanceof SubmitConflict conflict) ? conflict(conflict, json)
				: accepted((SubmitAccepted) outcome, change, differences, json);
	}

	private static SubmittedChange accepted(SubmitAccepted accepted, ChangeSubmission change,
			List<ConfigurationChange> differences, JsonObject json) {
		List<String> lines = new ArrayList<>(DiffFormatter.lines(differences));
		json.put("revision", accepted.revision()).put("applied", accepted.applied());
		if (accepted.applied()) {
			lines.add("accepted as revision " + accepted.revision() + ", change-id " + change.changeId());
			return new SubmittedChange(Report.ok(lines, json), OptionalLong.of(accepted.revision()));
		}
		if (change.dryRun()) {
			lines.add("would be accepted as revision " + accepted.revision() + "; next: run it without --dry-run");
			return new SubmittedChange(Report.ok(lines, json), OptionalLong.empty());
		}
		lines.add("not applied; next: compare with comfreywall get and comfreywall history");
		return new SubmittedChange(new Report(ExitCode.FAILED, lines, json), OptionalLong.empty());
	}

	private static SubmittedChange conflict(SubmitConflict conflict, JsonObject json) {
		List<String> lines = List.of(
				"conflict: " + conflict.winnerAuthor() + " changed the configuration first, change-id "
						+ conflict.winnerChangeId() + "; it is at revision " + conflict.revision(),
				conflict.message(),
				"next: fetch it with comfreywall get --output FILE, make your change there and apply FILE");
		json.put("revision", conflict.revision())
			.put("applied", false)
			.put("winnerChangeId", conflict.winnerChangeId())
			.put("winnerAuthor", conflict.winnerAuthor());
		return new SubmittedChange(new Report(ExitCode.CONFLICT, lines, json), OptionalLong.empty());
	}

}
