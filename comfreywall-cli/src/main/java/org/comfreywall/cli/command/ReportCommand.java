package org.comfreywall.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.comfreywall.cli.admin.AdminClient;
import org.comfreywall.common.result.Result;

/**
 * Shows the status of a group of model servers.
 */
@Parameters(commandDescription = "Show a group's step-time skew, rebalancing cost and ranks")
public final class ReportCommand extends AdminCommand {

	@Parameter(description = "GROUP", required = true)
	private String group;

	@Override
	Result<Report> run(AdminClient client, Console console) {
		return client.group(this.group).map((status) -> Report.ok(JsonTreeFormatter.lines(status), status));
	}

}
