package org.comfreywall.control.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.comfreywall.common.id.InstanceId;

/**
 * The locked data folder of one instance, with its format version and identity.
 */
final class DataFolder implements AutoCloseable {

	private static final String LOCK = "LOCK";

	private static final String FORMAT = "FORMAT";

	private static final String SYNC_FAILED = "SYNC-FAILED";

	private static final String TEMPORARY = ".tmp";

	private final Path path;

	private final FileChannel lockFile;

	private final FileSync fileSync;

	private DataFolder(Path path, FileChannel lockFile, FileSync fileSync) {
		this.path = path;
		this.lockFile = lockFile;
		this.fileSync = fileSync;
	}

	static DataFolder lock(Path path, FileSync fileSync) throws IOException {
		Files.createDirectories(path);
		FileChannel channel = FileChannel.open(path.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
		if (tryLock(channel).isEmpty()) {
			channel.close();
			throw new StorageException("the data folder " + path + " is in use by another process; stop that process");
		}
		return new DataFolder(path, channel, fileSync);
	}

	private static Optional<FileLock> tryLock(FileChannel channel) throws IOException {
		try {
			return Optional.ofNullable(channel.tryLock());
		}
		catch (OverlappingFileLockException ex) {
			return Optional.empty();
		}
	}

	// Reads the folder's format, or returns a new one for an empty folder.
	FolderFormat loadFormat(InstanceId instance, long newStorageId) throws IOException {
		if (Files.exists(this.path.resolve(SYNC_FAILED))) {
			throw new StorageException("a sync failed in the data folder " + this.path
					+ ", so its last records cannot be trusted; replace this instance by one with an empty folder");
		}
		if (Files.exists(this.path.resolve(FORMAT))) {
			return readFormat(instance);
		}
		if (!files("").isEmpty()) {
			throw new StorageException("the data folder " + this.path + " holds files but no " + FORMAT
					+ " file; if its first start was interrupted, empty it, otherwise replace this instance");
		}
		return new FolderFormat(FolderFormat.VERSION, instance, newStorageId, true);
	}

	private FolderFormat readFormat(InstanceId instance) throws IOException {
		FolderFormat format = FolderFormat.parse(Files.readString(this.path.resolve(FORMAT)));
		if (format.version() != FolderFormat.VERSION) {
			throw new StorageException("the data folder " + this.path + " has format version " + format.version()
					+ " but this program reads version " + FolderFormat.VERSION);
		}
		if (!format.instance().equals(instance)) {
			throw new StorageException("the data folder " + this.path + " belongs to instance " + format.instance()
					+ ", not to " + instance);
		}
		return format;
	}

	void writeFormat(FolderFormat format) throws IOException {
		writeFile(FORMAT, format.toText().getBytes(StandardCharsets.UTF_8));
	}

	Path resolve(String name) {
		return this.path.resolve(name);
	}

	// Lists the files with a prefix, ordered by name, without the lock file and temporary
	// files.
	List<Path> files(String prefix) throws IOException {
		try (Stream<Path> files = Files.list(this.path)) {
			return files.filter((file) -> isNamed(file, prefix)).sorted().toList();
		}
	}

	private static boolean isNamed(Path file, String prefix) {
		String name = file.getFileName().toString();
		return name.startsWith(prefix) && !name.equals(LOCK) && !name.endsWith(TEMPORARY);
	}

	void deleteTemporaryFiles() throws IOException {
		try (Stream<Path> files = Files.list(this.path)) {
			for (Path file : files.filter((found) -> found.toString().endsWith(TEMPORARY)).toList()) {
				Files.delete(file);
			}
		}
	}

	// Writes a file atomically: after a crash it is either complete or absent.
	void writeFile(String name, byte[]... parts) throws IOException {
		Path temporary = this.path.resolve(name + TEMPORARY);
		try (FileChannel channel = FileChannel.open(temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
				StandardOpenOption.TRUNCATE_EXISTING)) {
			for (byte[] part : parts) {
				Segment.writeFully(channel, part);
			}
			this.fileSync.sync(channel);
		}
		Files.move(temporary, this.path.resolve(name), StandardCopyOption.ATOMIC_MOVE);
		syncDirectory();
	}

	/**
	 * Syncs the directory, so that created, renamed and deleted files are durable.
	 */
	void syncDirectory() throws IOException {
		try (FileChannel directory = FileChannel.open(this.path, StandardOpenOption.READ)) {
			this.fileSync.sync(directory);
		}
	}

	void markSyncFailed() throws IOException {
		Files.writeString(this.path.resolve(SYNC_FAILED), "a sync failed\n");
	}

	@Override
	public void close() throws IOException {
		this.lockFile.close();
	}

}
