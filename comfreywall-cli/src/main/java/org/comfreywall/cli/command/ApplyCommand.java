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
import org.comfreywall.cli.admin.RevisedConfiguration;
import org.comfreywall.cli.admin.RevisionProgress;
import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.config.toml.ConfigurationChange;
import org.comfreywall.common.config.toml.ConfigurationDiff;
import org.comfreywall.common.config.toml.ConfigurationReader;
import org.comfreywall.common.config.toml.ConfigurationWriter;
import org.comfreywall.common.id.ChangeId;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;

/**
 * Submits a change of the configuration and, if asked, waits until it is in force.
 */
@Parameters(commandDescription = "Submit a change of the configuration")
public final class ApplyCommand extends AdminCommand {

	private static final String STANDARD_AUTHOR = "unknown";

	@Parameter(description = "CONFIGURATION-FILE")
	private String file;

	@Parameter(names = "--rollback-to", description = "Revision to return to, in place of a file")
	private Long rollbackTo;

	@Parameter(names = "--expected-revision", description = "Revision the change is based on; else the present one")
	private Long expectedRevision;

	@Parameter(names = "--change-id", description = "Id of the change; give the same one to send a change again")
	private String changeId;

	@Parameter(names = "--author", description = "Who makes the change; else the user's name")
	private String author = System.getProperty("user.name", STANDARD_AUTHOR);

	@Parameter(names = "--reason", description = "Why the change is made")
	private String reason = "";

	@Parameter(names = "--dry-run", description = "Only check the change")
	private boolean dryRun;

	@Parameter(names = "--wait", description = "Wait until every live member has the revision in force")
	private boolean wait;

	@Parameter(names = "--timeout", description = "How long --wait waits")
	private String timeout = "10s";

	@Override
	Result<Report> run(AdminClient client, Console console) {
		checkOptions();
		if (this.file == null) {
			return client.configuration().flatMap((present) -> submit(client, console, present, Optional.empty()));
		}
		return ConfigurationReader.read(Path.of(this.file))
			.flatMap((wanted) -> client.configuration()
				.flatMap((present) -> submit(client, console, present, Optional.of(wanted))));
	}

	private void checkOptions() {
		DurationOption.parse("--timeout", this.timeout);
		if ((this.file == null) == (this.rollbackTo == null)) {
			throw new ParameterException("Give either a CONFIGURATION-FILE or --rollback-to REVISION");
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

	private Result<Report> submit(AdminClient client, Console console, RevisedConfiguration present,
			Optional<Configuration> wanted) {
		Result<List<ConfigurationChange>> changes = changes(present, wanted);
		return changes.flatMap((list) -> {
			if (wanted.isPresent() && list.isEmpty() && this.changeId == null) {
				return Result.success(nothingToChange(present.revision()));
			}
			ChangeSubmission change = submission(present.revision(), wanted);
			return new ChangeSubmitter(client, console).submit(change, list)
				.flatMap((report) -> follow(client, report));
		});
	}

	private static Result<List<ConfigurationChange>> changes(RevisedConfiguration present,
			Optional<Configuration> wanted) {
		if (wanted.isEmpty()) {
			return Result.success(List.of());
		}
		return ConfigurationReader.parse("revision " + present.revision(), present.configuration())
			.map((configuration) -> ConfigurationDiff.between(configuration, wanted.get()));
	}

	private ChangeSubmission submission(long presentRevision, Optional<Configuration> wanted) {
		String id = (this.changeId != null) ? this.changeId : UUID.randomUUID().toString();
		long expected = (this.expectedRevision != null) ? this.expectedRevision : presentRevision;
		OptionalLong rollback = (this.rollbackTo != null) ? OptionalLong.of(this.rollbackTo) : OptionalLong.empty();
		return new ChangeSubmission(ChangeId.of(id), expected, this.author, this.reason,
				wanted.map(ConfigurationWriter::write), rollback, this.dryRun);
	}

	private Result<Report> follow(AdminClient client, SubmittedChange submitted) {
		if (!this.wait || submitted.revision().isEmpty()) {
			return Result.success(submitted.report());
		}
		long revision = submitted.revision().getAsLong();
		Result<RevisionProgress> progress = new ProgressWaiter(client, DurationOption.parse("--timeout", this.timeout))
			.waitFor(revision);
		return progress.error()
			.map((error) -> Result.<Report>failure(unknownProgress(error, revision)))
			.orElseGet(() -> progress.map(submitted::with));
	}

	private static OperationError unknownProgress(OperationError error, long revision) {
		return new OperationError(error.code(), error.step(), error.peer(), "the change was accepted as revision "
				+ revision + ", but how far it has come is not known: " + error.message());
	}

	private static Report nothingToChange(long revision) {
		return Report.ok(List.of("nothing to change: revision " + revision + " already holds this configuration"),
				new JsonObject().put("revision", revision)
					.put("applied", false)
					.put("changes", DiffFormatter.json(List.of())));
	}

}
