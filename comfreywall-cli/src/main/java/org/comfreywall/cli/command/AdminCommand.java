package org.comfreywall.cli.command;

import com.beust.jcommander.ParametersDelegate;
import org.comfreywall.cli.admin.AdminClient;
import org.comfreywall.common.result.Result;

/**
 * Base class of commands that call a daemon's admin API.
 */
abstract class AdminCommand implements Command {

	@ParametersDelegate
	private final CommonOptions options = new CommonOptions();

	@ParametersDelegate
	private final AdminOptions admin = new AdminOptions();

	@Override
	public CommonOptions options() {
		return this.options;
	}

	@Override
	public Result<Report> run(Console console) {
		return AdminSession.withClient(this.admin, console, (client) -> run(client, console));
	}

	abstract Result<Report> run(AdminClient client, Console console);

}
