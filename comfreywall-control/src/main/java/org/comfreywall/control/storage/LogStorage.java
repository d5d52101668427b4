package org.comfreywall.control.storage;

import java.util.Optional;

import org.comfreywall.common.result.OperationError;
import org.comfreywall.control.log.Compaction;
import org.comfreywall.control.log.DurableState;
import org.comfreywall.control.log.LogBatch;

/**
 * Stores the replicated log of one instance.
 * <p>
 * After the first error every call fails. A failed sync is never retried, because the
 * operating system may have dropped the unwritten data. Not thread-safe.
 */
public interface LogStorage extends AutoCloseable {

	/**
	 * Returns the identifier of the data folder, which is assigned at its first use.
	 * @return the identifier
	 */
	long storageId();

	/**
	 * Returns the state recovered when the storage was opened.
	 * @return the recovered state
	 */
	DurableState recovered();

	/**
	 * Writes a batch; it may be lost until {@link #sync()} succeeds.
	 * @param batch the batch
	 * @return the error, or empty if the batch is written
	 */
	Optional<OperationError> write(LogBatch batch);

	/**
	 * Makes everything written so far durable.
	 * @return the error, or empty if everything is durable
	 */
	Optional<OperationError> sync();

	/**
	 * Saves a snapshot, replaces the log by the part that is kept and makes both durable.
	 * @param compaction the snapshot and the part kept
	 * @return the error, or empty if both are durable
	 */
	Optional<OperationError> save(Compaction compaction);

	/**
	 * Closes the storage; unsynced writes may be lost.
	 */
	@Override
	void close();

}
