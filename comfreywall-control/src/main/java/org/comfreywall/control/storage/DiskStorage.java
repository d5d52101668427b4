package org.comfreywall.control.storage;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Optional;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.log.Compaction;
import org.comfreywall.control.log.DurableState;
import org.comfreywall.control.log.LogBatch;
import org.comfreywall.control.log.LogCodec;

/**
 * Stores the replicated log in checksummed segment files in one data folder.
 */
public final class DiskStorage implements LogStorage {

	/** The size in bytes beyond which a new segment is started. */
	public static final long DEFAULT_SEGMENT_BYTES = 64L << 20;

	private static final EventLog LOG = EventLog.of(DiskStorage.class);

	private final DataFolder folder;

	private final FileSync fileSync;

	private final long segmentBytes;

	private final SecureRandom random = new SecureRandom();

	private final long storageId;

	private final DurableState recovered;

	private long nextSequence;

	private Segment segment;

	private boolean unsynced;

	/** The segment that lost unsynced records when the disk was full. */
	private Optional<Segment> torn = Optional.empty();

	private Optional<OperationError> failure = Optional.empty();

	private DiskStorage(DataFolder folder, FileSync fileSync, long segmentBytes, FolderOrigin origin)
			throws IOException {
		this.folder = folder;
		this.fileSync = fileSync;
		this.segmentBytes = segmentBytes;
		FolderFormat format = folder.loadFormat(origin.instance(), origin.storageId());
		this.storageId = format.storageId();
		if (format.uninitialized()) {
			createFirstSegment(origin);
			folder.writeFormat(format);
		}
		SegmentRecovery recovery = new SegmentRecovery(folder, fileSync);
		this.recovered = recovery.recover();
		this.nextSequence = recovery.nextSequence();
		this.segment = newSegment(false);
	}

	/**
	 * Opens a data folder and creates it if it does not exist.
	 * @param path the folder
	 * @param origin the owner of the folder and the initial content of an empty one
	 * @param segmentBytes the size in bytes beyond which a new segment is started
	 * @return the storage, or an error that says what the operator has to do
	 */
	public static Result<DiskStorage> open(Path path, FolderOrigin origin, long segmentBytes) {
		return open(path, origin, segmentBytes, FileSync.FORCE);
	}

	static Result<DiskStorage> open(Path path, FolderOrigin origin, long segmentBytes, FileSync fileSync) {
		Preconditions.notNull(path, "path");
		Preconditions.notNull(origin, "origin");
		Preconditions.check(segmentBytes >= 1, "segmentBytes must be at least 1: %d", segmentBytes);
		try {
			DataFolder folder = DataFolder.lock(path, fileSync);
			return Result.success(openLocked(folder, origin, segmentBytes, fileSync));
		}
		catch (IOException | UncheckedIOException ex) {
			return Result.failure(OperationError.local(ErrorCode.STORAGE, Step.STORE,
					"the data folder cannot be opened: " + ex.getMessage()));
		}
	}

	private static DiskStorage openLocked(DataFolder folder, FolderOrigin origin, long segmentBytes, FileSync fileSync)
			throws IOException {
		try {
			return new DiskStorage(folder, fileSync, segmentBytes, origin);
		}
		catch (IOException | RuntimeException ex) {
			folder.close();
			throw ex;
		}
	}

	@Override
	public long storageId() {
		return this.storageId;
	}

	@Override
	public DurableState recovered() {
		return this.recovered;
	}

	@Override
	public Optional<OperationError> write(LogBatch batch) {
		return attempt("write", () -> {
			if (this.unsynced) {
				syncSegment(this.segment);
			}
			if (this.segment.bytes() > this.segmentBytes) {
				startNewSegment();
			}
			append(LogCodec.encodeBatch(batch).toArray());
		});
	}

	@Override
	public Optional<OperationError> sync() {
		return attempt("sync", () -> syncSegment(this.segment));
	}

	@Override
	public Optional<OperationError> save(Compaction compaction) {
		return attempt("snapshot", () -> {
			syncSegment(this.segment);
			SnapshotFiles.write(this.folder, compaction.snapshot());
			long firstKept = this.nextSequence;
			this.segment.close();
			this.segment = newSegment(true);
			append(LogCodec.encodeCompaction(compaction).toArray());
			syncSegment(this.segment);
			deleteSegmentsBefore(firstKept);
			SnapshotFiles.deleteOlderThan(this.folder, compaction.snapshot());
			this.folder.syncDirectory();
		});
	}

	@Override
	public void close() {
		try {
			this.segment.close();
			this.folder.close();
		}
		catch (IOException ex) {
			LOG.warn("close-failed", Field.of("error", ex.getMessage()));
		}
	}

	/**
	 * Removes the records whose sync failed on a full disk, so that the folder can be
	 * opened again. What was synced before them is intact, and nothing was acknowledged
	 * that relies on them. Called after {@link #close()}, until it succeeds.
	 * @return {@code true} if no such records are left on disk
	 */
	public boolean discardUnsynced() {
		try {
			if (this.torn.isPresent()) {
				this.torn.get().truncateToSynced(this.fileSync);
				this.torn = Optional.empty();
				LOG.info("unsynced-records-discarded", Field.of("storage-id", this.storageId));
			}
			return true;
		}
		catch (IOException ex) {
			LOG.warn("unsynced-records-not-discarded", Field.of("error", ex.getMessage()));
			return false;
		}
	}

	private void createFirstSegment(FolderOrigin origin) throws IOException {
		this.nextSequence = 1;
		try (Segment first = newSegment(true)) {
			this.segment = first;
			append(LogCodec.encodeBatch(origin.firstBatch()).toArray());
			syncSegment(first);
		}
	}

	// Writes one frame. A frame is written only after the previous one is synced, so that
	// recovery can distinguish a torn tail from damage.
	private void append(byte[] body) throws IOException {
		this.unsynced = true;
		this.segment.append(this.nextSequence, body);
		this.nextSequence++;
	}

	private void startNewSegment() throws IOException {
		syncSegment(this.segment);
		this.segment.close();
		this.segment = newSegment(false);
	}

	private Segment newSegment(boolean startsLog) throws IOException {
		SegmentHeader header = new SegmentHeader(this.random.nextLong(), this.nextSequence, startsLog);
		Path file = this.folder.resolve(Segment.name(this.nextSequence));
		Files.deleteIfExists(file);
		Segment created = Segment.create(file, header, this.fileSync);
		this.folder.syncDirectory();
		return created;
	}

	private void deleteSegmentsBefore(long sequence) throws IOException {
		for (Path file : this.folder.files(Segment.PREFIX)) {
			if (file.getFileName().toString().compareTo(Segment.name(sequence)) < 0) {
				Files.delete(file);
			}
		}
	}

	private void syncSegment(Segment synced) throws IOException {
		try {
			synced.sync(this.fileSync);
			this.unsynced = false;
		}
		catch (IOException ex) {
			if (isDiskFull(ex)) {
				this.torn = Optional.of(synced);
			}
			else {
				this.folder.markSyncFailed();
			}
			throw ex;
		}
	}

	// A full disk loses what was not synced, but unlike a defective one nothing else.
	private static boolean isDiskFull(IOException ex) {
		String message = String.valueOf(ex.getMessage());
		return message.contains("No space left on device") || message.contains("Disk quota exceeded");
	}

	// Runs an operation unless an earlier one failed; no operation is retried.
	private Optional<OperationError> attempt(String action, FileOperation operation) {
		if (this.failure.isPresent()) {
			return this.failure;
		}
		try {
			operation.run();
		}
		catch (IOException | UncheckedIOException ex) {
			this.failure = Optional.of(OperationError.local(ErrorCode.STORAGE, Step.STORE,
					"the " + action + " failed and is not retried: " + ex.getMessage()));
			LOG.error("storage-failed", Field.of("action", action), Field.of("error", ex.getMessage()));
		}
		return this.failure;
	}

	/** An operation on files. */
	private interface FileOperation {

		void run() throws IOException;

	}

}
