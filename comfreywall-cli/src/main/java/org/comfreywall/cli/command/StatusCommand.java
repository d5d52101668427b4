package org.comfreywall.cli.command;

import com.beust.jcommander.Parameters;
import org.comfreywall.cli.admin.AdminClient;
import org.comfreywall.common.result.Result;

/**
 * Shows the status of the fleet.
 */
@Parameters(commandDescription = "Show the status of the fleet as seen by the queried daemon")
public final class StatusCommand extends AdminCommand {

	@Override
	Result<Report> run(AdminClient client, Console console) {
		return client.status().map((status) -> Report.ok(JsonTreeFormatter.lines(status), status));
	}

}
