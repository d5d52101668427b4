package org.comfreywall.cli.command;

import java.util.function.Function;

import org.comfreywall.cli.admin.AdminClient;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;

/**
 * Opens an admin API client for the duration of one action.
 */
public final class AdminSession {

	private AdminSession() {
	}

	/**
	 * Opens a client, runs an action with it and closes it.
	 * @param <T> the type of the action's value
	 * @param options the address and credentials of the daemon
	 * @param console the process's streams and environment
	 * @param action the action
	 * @return the action's result
	 */
	public static <T> Result<T> withClient(AdminOptions options, Console console,
			Function<AdminClient, Result<T>> action) {
		try (AdminClient client = new AdminClient(options.target(console))) {
			return action.apply(client);
		}
		catch (RuntimeException ex) {
			throw ex;
		}
		catch (Exception ex) {
			return Result.failure(OperationError.local(ErrorCode.CONNECTION_LOST, Step.SEND,
					"the connection could not be closed: " + ex.getClass().getSimpleName()));
		}
	}

}
