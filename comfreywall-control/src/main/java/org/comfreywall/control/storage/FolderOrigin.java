package org.comfreywall.control.storage;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.log.BootstrapBatch;
import org.comfreywall.control.log.LogBatch;

/**
 * The owner of a data folder and the initial content of an empty one.
 *
 * @param instance the instance
 * @param storageId the identifier assigned to an empty folder
 * @param firstBatch the first batch written to an empty folder
 */
public record FolderOrigin(InstanceId instance, long storageId, LogBatch firstBatch) {

	public FolderOrigin {
		Preconditions.notNull(instance, "instance");
		Preconditions.notNull(firstBatch, "firstBatch");
	}

	/**
	 * Creates the origin of an initial voter of a new log. Use it only on an operator's
	 * explicit request: an instance whose folder was emptied must not bootstrap the log
	 * again.
	 * @param instance the instance
	 * @param initialVoters all initial voters, in the same order on each of them
	 * @return the origin
	 */
	public static FolderOrigin founding(InstanceId instance, List<InstanceId> initialVoters) {
		Preconditions.check(initialVoters.contains(instance), "initialVoters must contain %s", instance);
		return new FolderOrigin(instance, BootstrapBatch.STORAGE_ID, BootstrapBatch.of(initialVoters));
	}

	/**
	 * Creates the origin of an instance that waits until it is added to an existing log
	 * as a learner.
	 * @param instance the instance
	 * @param random a source of random numbers, which must make the storage identifier
	 * unique
	 * @return the origin, with a new storage identifier
	 */
	public static FolderOrigin joining(InstanceId instance, RandomGenerator random) {
		long storageId = random.nextLong(BootstrapBatch.STORAGE_ID + 1, Long.MAX_VALUE);
		return new FolderOrigin(instance, storageId, new LogBatch(Optional.empty(), List.of()));
	}

}
