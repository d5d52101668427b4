package org.comfreywall.cli.command;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.comfreywall.cli.admin.AcceptedChange;
import org.comfreywall.cli.admin.AdminClient;
import org.comfreywall.common.result.Result;

/**
 * Lists accepted configuration changes.
 */
@Parameters(commandDescription = "List accepted configuration changes")
public final class HistoryCommand extends AdminCommand {

	private static final int MAX_LIMIT = 1000;

	@Parameter(names = "--limit", description = "Maximum number of changes, 1 to " + MAX_LIMIT)
	private int limit = 20;

	@Override
	Result<Report> run(AdminClient client, Console console) {
		if (this.limit < 1 || this.limit > MAX_LIMIT) {
			throw new ParameterException("--limit " + this.limit + " is out of range; allowed: 1 to " + MAX_LIMIT);
		}
		return client.history(this.limit).map(HistoryCommand::report);
	}

	private static Report report(List<AcceptedChange> changes) {
		List<String> lines = changes.isEmpty() ? List.of("no changes have been accepted yet")
				: changes.stream().map(HistoryCommand::line).toList();
		return Report.ok(lines,
				new JsonObject().put("changes", new JsonArray(changes.stream().map(HistoryCommand::json).toList())));
	}

	private static String line(AcceptedChange change) {
		return "revision " + change.revision() + "  " + change.time() + "  " + change.author() + "  "
				+ change.changeId() + "  " + change.reason();
	}

	private static JsonObject json(AcceptedChange change) {
		return new JsonObject().put("revision", change.revision())
			.put("changeId", change.changeId())
			.put("author", change.author())
			.put("reason", change.reason())
			.put("time", change.time());
	}

}
