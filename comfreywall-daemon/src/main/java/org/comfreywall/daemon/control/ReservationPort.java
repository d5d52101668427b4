package org.comfreywall.daemon.control;

import java.util.Map;
import java.util.concurrent.CompletionStage;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.result.Result;

/**
 * Reads and writes durable reservations of in-flight slots.
 */
interface ReservationPort {

	/**
	 * Reads all reservations; linearizable, so it includes every reservation that was
	 * durable before the call.
	 * @return completes with the reservations by client account, or an error
	 */
	CompletionStage<Result<Map<AccountId, Long>>> load();

	/**
	 * Sets the reservation of a client account.
	 * @param account the client account
	 * @param slots the number of slots that may be in use
	 * @return completes with whether it is durable; never exceptionally
	 */
	CompletionStage<Boolean> reserve(AccountId account, long slots);

}
