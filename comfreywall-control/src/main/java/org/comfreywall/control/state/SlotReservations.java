package org.comfreywall.control.state;

import java.util.Map;
import java.util.TreeMap;

import com.google.protobuf.InvalidProtocolBufferException;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.generated.SlotReservationRecord;
import org.comfreywall.control.generated.SlotReservationsRecord;

/**
 * A replicated upper bound, per client account, on the in-flight slots that grantors may
 * have granted.
 * <p>
 * The leader raises the reservation of an account before it sends a grant that exceeds
 * it. At most {@value #MAX_ACCOUNTS} client accounts are kept; reservations for further
 * accounts are refused, so their grants are not sent.
 */
public final class SlotReservations implements Ledger {

	/** The name of the ledger. */
	public static final String NAME = "slot-reservations";

	private static final int MAX_ACCOUNTS = 65_536;

	private static final Bytes DONE = Bytes.ofText("done");

	private static final Bytes REFUSED = Bytes.ofText("refused");

	private final Map<AccountId, Long> reservations = new TreeMap<>();

	/**
	 * Encodes a command that sets the reservation of a client account.
	 * @param account the client account
	 * @param slots the number of in-flight slots, zero or greater
	 * @return the encoded command; {@link #isDone(Bytes)} interprets its answer
	 */
	public static Bytes reserve(AccountId account, long slots) {
		Preconditions.notNull(account, "account");
		Preconditions.check(slots >= 0, "slots must not be negative: %d", slots);
		return Bytes.of(toRecord(account, slots).toByteArray());
	}

	/**
	 * Returns whether a reservation was set.
	 * @param answer the answer to the command
	 * @return {@code true} if the reservation is durable
	 */
	public static boolean isDone(Bytes answer) {
		return DONE.equals(answer);
	}

	/**
	 * Returns all reservations.
	 * @return a copy, by client account
	 */
	public Map<AccountId, Long> reservations() {
		return Map.copyOf(this.reservations);
	}

	@Override
	public String name() {
		return NAME;
	}

	@Override
	public Bytes apply(LogTime time, Bytes command) {
		try {
			SlotReservationRecord record = SlotReservationRecord.parseFrom(command.toArray());
			return setReservation(AccountId.of(record.getAccount()), record.getSlots()) ? DONE : REFUSED;
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			return REFUSED;
		}
	}

	@Override
	public Bytes query(Bytes query) {
		return snapshot();
	}

	@Override
	public Bytes snapshot() {
		SlotReservationsRecord.Builder all = SlotReservationsRecord.newBuilder();
		this.reservations.forEach((account, slots) -> all.addReservations(toRecord(account, slots)));
		return Bytes.of(all.build().toByteArray());
	}

	@Override
	public void restore(Bytes snapshot) {
		try {
			SlotReservationsRecord all = SlotReservationsRecord.parseFrom(snapshot.toArray());
			this.reservations.clear();
			all.getReservationsList()
				.forEach((record) -> this.reservations.put(AccountId.of(record.getAccount()), record.getSlots()));
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalArgumentException("the snapshot of slot reservations is malformed", ex);
		}
	}

	private boolean setReservation(AccountId account, long slots) {
		if (slots < 0 || (!this.reservations.containsKey(account) && this.reservations.size() >= MAX_ACCOUNTS)) {
			return false;
		}
		this.reservations.put(account, slots);
		return true;
	}

	private static SlotReservationRecord toRecord(AccountId account, long slots) {
		return SlotReservationRecord.newBuilder().setAccount(account.value()).setSlots(slots).build();
	}

}
