package org.comfreywall.control.state;

import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnsafeByteOperations;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.generated.LedgerSnapshotRecord;
import org.comfreywall.control.generated.StateSnapshotRecord;

/**
 * The replicated state machine: dispatches each command to the ledger that it names. Not
 * thread-safe.
 */
public final class StateMachine {

	private static final EventLog LOG = EventLog.of(StateMachine.class);

	/** Sorted by name, so that snapshots are equal on all instances. */
	private final NavigableMap<String, Ledger> ledgers = new TreeMap<>();

	private LogTime time = LogTime.ZERO;

	/**
	 * Creates a state machine.
	 * @param ledgers the ledgers, the same on all instances, with unique names
	 */
	public StateMachine(List<Ledger> ledgers) {
		for (Ledger ledger : ledgers) {
			Preconditions.check(this.ledgers.put(ledger.name(), ledger) == null,
					"the ledger name %s is used more than once", ledger.name());
		}
	}

	/**
	 * Applies a committed command.
	 * @param time the log time of the command
	 * @param command a command encoded by {@link LedgerCommand#encode()}
	 * @return the ledger's answer, or an error if the command is malformed, its ledger
	 * does not exist or the ledger throws
	 */
	public Result<Bytes> apply(LogTime time, Bytes command) {
		Preconditions.notNull(time, "time");
		this.time = this.time.isBefore(time) ? time : this.time;
		return LedgerCommand.decode(command)
			.flatMap((decoded) -> find(decoded.ledger()).flatMap((ledger) -> apply(ledger, decoded.command())));
	}

	// Ledgers are deterministic: a command that throws here throws on every instance, so
	// it is answered with an error and the following entries are still applied.
	private Result<Bytes> apply(Ledger ledger, Bytes command) {
		try {
			return Result.success(ledger.apply(this.time, command));
		}
		catch (RuntimeException ex) {
			LOG.error("ledger-failed", Field.of("ledger", ledger.name()), Field.of("error", ex));
			return Result.failure(OperationError.local(ErrorCode.INVARIANT, Step.REPLICATE,
					"ledger " + ledger.name() + " could not apply a command: " + ex));
		}
	}

	/**
	 * Answers a query.
	 * @param query a query encoded by {@link LedgerCommand#encode()}
	 * @return the ledger's answer, or an error if the query is malformed or its ledger
	 * does not exist
	 */
	public Result<Bytes> query(Bytes query) {
		return LedgerCommand.decode(query)
			.flatMap((decoded) -> find(decoded.ledger()).map((ledger) -> ledger.query(decoded.command())));
	}

	/**
	 * Encodes the whole state. A ledger with an empty state is left out, as versions
	 * without it refuse snapshots that contain it.
	 * @return the encoded state
	 */
	public Bytes snapshot() {
		StateSnapshotRecord.Builder builder = StateSnapshotRecord.newBuilder().setLogTimeMillis(this.time.millis());
		this.ledgers.values()
			.stream()
			.map(StateMachine::toRecord)
			.filter((ledger) -> !ledger.getState().isEmpty())
			.forEach(builder::addLedgers);
		return Bytes.of(builder.build().toByteArray());
	}

	/**
	 * Replaces the state. A ledger that is missing from the snapshot keeps its state.
	 * @param snapshot a state encoded by {@link #snapshot()}
	 * @throws IllegalArgumentException if the snapshot is malformed or contains an
	 * unknown ledger
	 */
	public void restore(Bytes snapshot) {
		StateSnapshotRecord restored = parse(snapshot);
		this.time = LogTime.of(restored.getLogTimeMillis());
		for (LedgerSnapshotRecord ledger : restored.getLedgersList()) {
			Ledger found = this.ledgers.get(ledger.getLedger());
			Preconditions.check(found != null, "the snapshot contains ledger %s, which this version does not support",
					ledger.getLedger());
			found.restore(Bytes.of(ledger.getState().toByteArray()));
		}
	}

	private Result<Ledger> find(String name) {
		Ledger ledger = this.ledgers.get(name);
		if (ledger == null) {
			return Result.failure(OperationError.local(ErrorCode.NOT_FOUND, Step.REPLICATE,
					"there is no ledger named " + name + "; all control instances must run the same version"));
		}
		return Result.success(ledger);
	}

	private static LedgerSnapshotRecord toRecord(Ledger ledger) {
		return LedgerSnapshotRecord.newBuilder()
			.setLedger(ledger.name())
			.setState(UnsafeByteOperations.unsafeWrap(ledger.snapshot().toArray()))
			.build();
	}

	private static StateSnapshotRecord parse(Bytes snapshot) {
		try {
			return StateSnapshotRecord.parseFrom(snapshot.toArray());
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalArgumentException("the snapshot of the state machine cannot be decoded", ex);
		}
	}

}
