package org.comfreywall.control.storage;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.log.FoundingBatch;
import org.comfreywall.control.log.LogBatch;

/**
 * Says whose data folder it is and what an empty one starts with.
 *
 * @param instance the instance
 * @param storageId the identifier that an empty folder gets
 * @param firstBatch the batch that an empty folder starts with
 */
public record FolderOrigin(InstanceId instance, long storageId, LogBatch firstBatch) {

	public FolderOrigin {
		Preconditions.notNull(instance, "instance");
		Preconditions.notNull(firstBatch, "firstBatch");
	}

	/**
	 * Describes the folder of an instance that founds a log together with others. To be
	 * used only at an operator's word: an emptied folder must not found the log again.
	 * @param instance the instance
	 * @param founders all founders, in the same order on each of them
	 * @return the origin
	 */
	public static FolderOrigin founding(InstanceId instance, List<InstanceId> founders) {
		Preconditions.check(founders.contains(instance), "founders must contain %s", instance);
		return new FolderOrigin(instance, FoundingBatch.STORAGE_ID, FoundingBatch.of(founders));
	}

	/**
	 * Describes the folder of an instance that waits until it is added as a learner.
	 * @param instance the instance
	 * @param random a source of good random numbers
	 * @return the origin, with a new storage identifier
	 */
	public static FolderOrigin joining(InstanceId instance, RandomGenerator random) {
		long storageId = random.nextLong(FoundingBatch.STORAGE_ID + 1, Long.MAX_VALUE);
		return new FolderOrigin(instance, storageId, new LogBatch(Optional.empty(), List.of()));
	}

}
