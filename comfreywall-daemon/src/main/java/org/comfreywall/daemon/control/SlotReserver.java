package org.comfreywall.daemon.control;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.control.lease.SlotReservation;
import org.comfreywall.control.lease.SlotUse;

/**
 * Keeps the durable reservations of one term at or above the number of in-flight slots
 * that may be in use.
 */
final class SlotReserver {

	private static final CompletionStage<Boolean> DONE = CompletableFuture.completedFuture(true);

	private final ReservationPort port;

	private final Map<AccountId, Long> reserved;

	private final Map<AccountId, CompletionStage<Boolean>> latestWrites = new HashMap<>();

	SlotReserver(ReservationPort port, Map<AccountId, Long> durable) {
		this.port = port;
		this.reserved = new HashMap<>(durable);
	}

	synchronized long reserved(AccountId account) {
		return this.reserved.getOrDefault(account, 0L);
	}

	/**
	 * Updates the reservation of a client account if the number of its slots requires it.
	 * @param account the client account
	 * @param use the slots that may be in use
	 * @return completes with whether the latest reservation is durable
	 */
	synchronized CompletionStage<Boolean> ensureReserved(AccountId account, SlotUse use) {
		long current = reserved(account);
		long next = SlotReservation.next(current, use);
		if (next != current) {
			this.reserved.put(account, next);
			this.latestWrites.put(account,
					this.port.reserve(account, next).thenApply((done) -> handleReserved(account, done)));
		}
		return this.latestWrites.getOrDefault(account, DONE);
	}

	private synchronized boolean handleReserved(AccountId account, boolean done) {
		if (!done) {
			this.reserved.remove(account);
		}
		return done;
	}

}
