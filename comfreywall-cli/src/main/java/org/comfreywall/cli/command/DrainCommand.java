package org.comfreywall.cli.command;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vertx.core.json.JsonObject;
import org.comfreywall.cli.admin.AdminClient;
import org.comfreywall.common.result.Result;

/**
 * Drains a backend server through the admin API.
 */
@Parameters(commandDescription = "Drain a backend server: it gets no new requests and finishes running ones")
public final class DrainCommand extends AdminCommand {

	@Parameter(description = "BACKEND-SERVER", required = true)
	private String backendServer;

	@Override
	Result<Report> run(AdminClient client, Console console) {
		return client.drain(this.backendServer).map((answer) -> report());
	}

	private Report report() {
		return Report.ok(
				List.of("draining " + this.backendServer + "; it gets no new requests and finishes running ones",
						"next: run comfreywall status to see whether it has finished"),
				new JsonObject().put("backendServer", this.backendServer).put("draining", true));
	}

}
