package org.comfreywall.cli.command;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import io.vertx.core.json.JsonObject;
import org.comfreywall.cli.admin.AdminClient;
import org.comfreywall.cli.admin.ChangeSubmission;
import org.comfreywall.cli.admin.RevisionProgress;
import org.comfreywall.cli.admin.VersionedConfiguration;
import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.config.toml.ConfigurationChange;
import org.comfreywall.common.config.toml.ConfigurationDiff;
import org.comfreywall.common.config.toml.ConfigurationReader;
import org.comfreywall.common.config.toml.ConfigurationWriter;
import org.comfreywall.common.id.ChangeId;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;

/**
 * Submits a configuration change or rollback. With {@code --wait}, waits until every live
 * member has applied it.
 */
@Parameters(commandDescription = "Submit a configuration change or a rollback")
public final class ApplyCommand extends AdminCommand {

	private static final String DEFAULT_AUTHOR = "unknown";

	@Parameter(description = "CONFIGURATION-FILE")
	private String file;

	@Parameter(names = "--rollback-to", description = "Revision to roll back to, instead of a file")
	private Long rollbackTo;

	@Parameter(names = "--expected-revision", description = "Revision the change is based on; default: the current one")
	private Long expectedRevision;

	@Parameter(names = "--change-id",
			description = "Id of the change; reuse it to resend a change. Default: a random UUID")
	private String changeId;

	@Parameter(names = "--author", description = "Author of the change; default: the name of the current user")
	private String author = System.getProperty("user.name", DEFAULT_AUTHOR);

	@Parameter(names = "--reason", description = "Reason for the change, kept in the history")
	private String reason = "";

	@Parameter(names = "--dry-run", description = "Validate the change without applying it")
	private boolean dryRun;

	@Parameter(names = "--wait", description = "Wait until every live member has applied the revision")
	private boolean wait;

	@Parameter(names = "--timeout", description = "Timeout of --wait, such as 500ms or 10s")
	private String timeout = "10s";

	@Override
	Result<Report> run(AdminClient client, Console console) {
		checkOptions();
		if (this.file == null) {
			return client.configuration().flatMap((current) -> submit(client, console, current, Optional.empty()));
		}
		return ConfigurationReader.read(Path.of(this.file))
			.flatMap((desired) -> client.configuration()
				.flatMap((current) -> submit(client, console, current, Optional.of(desired))));
	}

	private void checkOptions() {
		DurationOption.parse("--timeout", this.timeout);
		if ((this.file == null) == (this.rollbackTo == null)) {
			throw new ParameterException(
					"either a CONFIGURATION-FILE or --rollback-to REVISION is required, but not both");
		}
		if (this.author.isBlank() || (this.changeId != null && this.changeId.isBlank())) {
			throw new ParameterException("--author and --change-id must not be blank");
		}
		if (isNegative(this.expectedRevision) || isNegative(this.rollbackTo)) {
			throw new ParameterException("--expected-revision and --rollback-to must not be negative");
		}
	}

	private static boolean isNegative(Long number) {
		return number != null && number < 0;
	}

	private Result<Report> submit(AdminClient client, Console console, VersionedConfiguration current,
			Optional<Configuration> desired) {
		Result<List<ConfigurationChange>> changes = changes(current, desired);
		return changes.flatMap((list) -> {
			if (desired.isPresent() && list.isEmpty() && this.changeId == null) {
				return Result.success(unchangedReport(current.revision()));
			}
			ChangeSubmission change = createSubmission(current.revision(), desired);
			return new ChangeSubmitter(client, console).submit(change, list)
				.flatMap((report) -> waitIfRequested(client, report));
		});
	}

	private static Result<List<ConfigurationChange>> changes(VersionedConfiguration current,
			Optional<Configuration> desired) {
		if (desired.isEmpty()) {
			return Result.success(List.of());
		}
		return ConfigurationReader.parse("revision " + current.revision(), current.configuration())
			.map((configuration) -> ConfigurationDiff.between(configuration, desired.get()));
	}

	private ChangeSubmission createSubmission(long currentRevision, Optional<Configuration> desired) {
		String id = (this.changeId != null) ? this.changeId : UUID.randomUUID().toString();
		long expected = (this.expectedRevision != null) ? this.expectedRevision : currentRevision;
		OptionalLong rollback = (this.rollbackTo != null) ? OptionalLong.of(this.rollbackTo) : OptionalLong.empty();
		return new ChangeSubmission(ChangeId.of(id), expected, this.author, this.reason,
				desired.map(ConfigurationWriter::write), rollback, this.dryRun);
	}

	private Result<Report> waitIfRequested(AdminClient client, SubmittedChange submitted) {
		if (!this.wait || submitted.revision().isEmpty()) {
			return Result.success(submitted.report());
		}
		long revision = submitted.revision().getAsLong();
		Result<RevisionProgress> progress = new ProgressWaiter(client, DurationOption.parse("--timeout", this.timeout))
			.awaitCompletion(revision);
		return progress.error()
			.map((error) -> Result.<Report>failure(progressError(error, revision)))
			.orElseGet(() -> progress.map(submitted::withProgress));
	}

	private static OperationError progressError(OperationError error, long revision) {
		return new OperationError(error.code(), error.step(), error.peer(), "the change was accepted as revision "
				+ revision + ", but its progress is not known: " + error.message());
	}

	private static Report unchangedReport(long revision) {
		return Report.ok(List.of("nothing to change: revision " + revision + " already holds this configuration"),
				new JsonObject().put("revision", revision)
					.put("applied", false)
					.put("changes", DiffFormatter.json(List.of())));
	}

}
