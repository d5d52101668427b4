package org.comfreywall.control.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.log.Compaction;
import org.comfreywall.control.log.DurableState;
import org.comfreywall.control.log.LogBatch;
import org.comfreywall.control.log.LogCodec;
import org.comfreywall.control.log.LogReader;
import org.comfreywall.control.log.Snapshot;

/**
 * A storage in memory that simulates crashes and failed syncs, for tests and randomized
 * simulations.
 */
public final class MemoryStorage implements LogStorage {

	private final long storageId;

	private final List<Bytes> synced = new ArrayList<>();

	private final List<Bytes> unsynced = new ArrayList<>();

	private Optional<Snapshot> snapshot = Optional.empty();

	private boolean failNextSync;

	private boolean failed;

	private MemoryStorage(long storageId) {
		this.storageId = storageId;
	}

	/**
	 * Creates an empty storage.
	 * @param storageId its identifier
	 * @return the storage
	 */
	public static MemoryStorage empty(long storageId) {
		return new MemoryStorage(storageId);
	}

	/**
	 * Creates a storage that holds a synced batch.
	 * @param storageId its identifier
	 * @param batch the batch
	 * @return the storage
	 */
	public static MemoryStorage with(long storageId, LogBatch batch) {
		MemoryStorage storage = new MemoryStorage(storageId);
		storage.write(batch);
		storage.sync();
		return storage;
	}

	@Override
	public long storageId() {
		return this.storageId;
	}

	@Override
	public DurableState recovered() {
		LogReader reader = new LogReader();
		this.synced.forEach((batch) -> Preconditions.check(LogCodec.decodeBatch(batch, reader).error().isEmpty(),
				"a batch in memory cannot be decoded"));
		return reader.toDurableState(this.snapshot);
	}

	@Override
	public Optional<OperationError> write(LogBatch batch) {
		if (this.failed) {
			return failure();
		}
		this.unsynced.add(LogCodec.encodeBatch(batch));
		return Optional.empty();
	}

	@Override
	public Optional<OperationError> sync() {
		this.failed = this.failed || this.failNextSync;
		if (this.failed) {
			return failure();
		}
		this.synced.addAll(this.unsynced);
		this.unsynced.clear();
		return Optional.empty();
	}

	@Override
	public Optional<OperationError> save(Compaction compaction) {
		if (this.failed) {
			return failure();
		}
		this.unsynced.clear();
		this.synced.clear();
		this.synced.add(LogCodec.encodeCompaction(compaction));
		this.snapshot = Optional.of(compaction.snapshot());
		return Optional.empty();
	}

	/**
	 * Simulates a crash: discards unsynced writes and clears a failure.
	 */
	public void crash() {
		this.unsynced.clear();
		this.failed = false;
		this.failNextSync = false;
	}

	/**
	 * Makes the next sync fail.
	 */
	public void failNextSync() {
		this.failNextSync = true;
	}

	@Override
	public void close() {
		crash();
	}

	private static Optional<OperationError> failure() {
		return Optional.of(OperationError.local(ErrorCode.STORAGE, Step.STORE, "the storage in memory has failed"));
	}

}
