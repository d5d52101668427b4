package org.comfreywall.cli.command;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.comfreywall.cli.admin.AdminClient;
import org.comfreywall.cli.admin.DecisionView;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;

/**
 * Prints the recorded decisions about one request or another subject, such as a group.
 */
@Parameters(commandDescription = "Print the recorded decisions about a request and their inputs")
public final class ExplainCommand extends AdminCommand {

	@Parameter(description = "REQUEST", required = true)
	private String subject;

	@Override
	Result<Report> run(AdminClient client, Console console) {
		return client.decisions(this.subject).flatMap(this::report);
	}

	private Result<Report> report(List<DecisionView> records) {
		if (records.isEmpty()) {
			return Result.failure(OperationError.local(ErrorCode.NOT_FOUND, Step.SEND,
					"this daemon has no recorded decision about " + this.subject
							+ "; check the id, and use --admin to query the entry that received the request"));
		}
		JsonArray json = new JsonArray(records.stream().map(ExplainCommand::json).toList());
		return Result.success(Report.ok(records.stream().flatMap((record) -> lines(record).stream()).toList(),
				new JsonObject().put("subject", this.subject).put("records", json)));
	}

	private static List<String> lines(DecisionView record) {
		List<String> lines = new ArrayList<>();
		lines.add(record.kind() + ": " + record.result());
		record.inputs().forEach((input) -> lines.add("  " + input.key() + " = " + input.value()));
		return lines;
	}

	private static JsonObject json(DecisionView record) {
		return new JsonObject().put("kind", record.kind())
			.put("result", record.result())
			.put("inputs", new JsonArray(record.inputs().stream().map(ExplainCommand::json).toList()));
	}

	private static JsonObject json(Field input) {
		return new JsonObject().put("key", input.key()).put("value", input.value());
	}

}
