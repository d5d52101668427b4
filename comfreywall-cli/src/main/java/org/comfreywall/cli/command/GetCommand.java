package org.comfreywall.cli.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vertx.core.json.JsonObject;
import org.comfreywall.cli.admin.AdminClient;
import org.comfreywall.cli.admin.VersionedConfiguration;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;

/**
 * Fetches the current configuration and prints it or writes it to a file.
 */
@Parameters(commandDescription = "Print the current configuration or write it to a file")
public final class GetCommand extends AdminCommand {

	@Parameter(names = "--output", description = "File to write the configuration to; default: standard output")
	private String output;

	@Override
	Result<Report> run(AdminClient client, Console console) {
		return client.configuration().flatMap(this::report);
	}

	private Result<Report> report(VersionedConfiguration current) {
		JsonObject json = new JsonObject().put("revision", current.revision())
			.put("configuration", current.configuration());
		if (this.output == null) {
			List<String> lines = current.configuration().lines().toList();
			return Result.success(Report.ok(prepend("# revision " + current.revision(), lines), json));
		}
		try {
			TextFiles.write(Path.of(this.output), current.configuration());
			return Result
				.success(Report.ok(List.of("wrote revision " + current.revision() + " to " + this.output), json));
		}
		catch (IOException ex) {
			return Result.failure(OperationError.local(ErrorCode.STORAGE, Step.STORE,
					this.output + " cannot be written (" + ex.getMessage() + ")"));
		}
	}

	private static List<String> prepend(String first, List<String> rest) {
		return Stream.concat(Stream.of(first), rest.stream()).toList();
	}

}
