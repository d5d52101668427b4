package org.comfreywall.cli.command;

import com.beust.jcommander.Parameters;
import org.comfreywall.cli.admin.AdminClient;
import org.comfreywall.common.result.Result;

/**
 * Shows how the fleet is.
 */
@Parameters(commandDescription = "Show how the fleet is, as the asked daemon sees it")
public final class StatusCommand extends AdminCommand {

	@Override
	Result<Report> run(AdminClient client, Console console) {
		return client.status().map((status) -> Report.ok(JsonTree.lines(status), status));
	}

}
