package org.comfreywall.daemon.control;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.control.lease.SlotReservation;

/**
 * Keeps the durable reservations of one term in step with the slots that may be in use.
 */
final class SlotReserver {

	private static final CompletionStage<Boolean> DONE = CompletableFuture.completedFuture(true);

	private final ReservationPort port;

	private final Map<AccountId, Long> reserved;

	private final Map<AccountId, CompletionStage<Boolean>> latest = new HashMap<>();

	SlotReserver(ReservationPort port, Map<AccountId, Long> durable) {
		this.port = port;
		this.reserved = new HashMap<>(durable);
	}

	synchronized long reserved(AccountId account) {
		return this.reserved.getOrDefault(account, 0L);
	}

	/**
	 * Makes sure that the reservation of a client account covers its slots.
	 * @param account the client account
	 * @param outstanding the slots that may be in use
	 * @return completes with whether the reservation is durable
	 */
	synchronized CompletionStage<Boolean> cover(AccountId account, long outstanding) {
		long present = reserved(account);
		long next = SlotReservation.next(present, outstanding);
		if (next != present) {
			this.reserved.put(account, next);
			this.latest.put(account, this.port.reserve(account, next).thenApply((done) -> settle(account, done)));
		}
		return this.latest.getOrDefault(account, DONE);
	}

	private synchronized boolean settle(AccountId account, boolean done) {
		if (!done) {
			this.reserved.remove(account);
		}
		return done;
	}

}
