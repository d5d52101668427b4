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
 * Lists accepted changes of the configuration.
 */
@Parameters(commandDescription = "List accepted changes of the configuration")
public final class HistoryCommand extends AdminCommand {

	private static final int GREATEST_LIMIT = 1000;

	@Parameter(names = "--limit", description = "Greatest number of changes, 1 to " + GREATEST_LIMIT)
	private int limit = 20;

	@Override
	Result<Report> run(AdminClient client, Console console) {
		if (this.limit < 1 || this.limit > GREATEST_LIMIT) {
			throw new ParameterException("--limit " + this.limit + " is not allowed; allowed: 1 to " + GREATEST_LIMIT);
		}
		return client.history(this.limit).map(HistoryCommand::report);
	}

	private static Report report(List<AcceptedChange> changes) {
		List<String> lines = changes.isEmpty() ? List.of("no change was accepted yet")
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
