package org.comfreywall.control.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.log.DurableState;
import org.comfreywall.control.log.LogCodec;
import org.comfreywall.control.log.LogReader;
import org.comfreywall.control.log.Snapshot;

/**
 * Recovers the log from the segments and the newest snapshot of a data folder. Truncates
 * a torn tail, and fails on any other damage.
 */
final class SegmentRecovery {

	private static final EventLog LOG = EventLog.of(SegmentRecovery.class);

	private final DataFolder folder;

	private final FileSync fileSync;

	private long nextSequence = 1;

	SegmentRecovery(DataFolder folder, FileSync fileSync) {
		this.folder = folder;
		this.fileSync = fileSync;
	}

	long nextSequence() {
		return this.nextSequence;
	}

	DurableState recover() throws IOException {
		this.folder.deleteTemporaryFiles();
		Optional<Snapshot> snapshot = SnapshotFiles.readNewest(this.folder);
		LogReader reader = new LogReader();
		List<SegmentContent> segments = fromLogStart(readSegments());
		checkSequence(segments);
		for (SegmentContent segment : segments) {
			read(segment, reader);
		}
		try {
			return reader.toDurableState(snapshot);
		}
		catch (IllegalArgumentException ex) {
			throw damage("the log does not continue the newest snapshot: " + ex.getMessage());
		}
	}

	private void read(SegmentContent segment, LogReader reader) throws IOException {
		for (Bytes frame : segment.frames()) {
			Optional<OperationError> error = LogCodec.decodeBatch(frame, reader).error();
			if (error.isPresent()) {
				throw damage(error.get().message());
			}
		}
	}

	private List<SegmentContent> readSegments() throws IOException {
		List<Path> files = new ArrayList<>(this.folder.files(Segment.PREFIX));
		List<SegmentContent> segments = new ArrayList<>();
		for (int i = 0; i < files.size(); i++) {
			boolean newest = i == files.size() - 1;
			readSegment(files.get(i), newest).ifPresent(segments::add);
		}
		return segments;
	}

	private Optional<SegmentContent> readSegment(Path file, boolean newest) throws IOException {
		byte[] content = Files.readAllBytes(file);
		Optional<SegmentHeader> header = SegmentHeader.decode(content);
		if (header.isEmpty()) {
			if (newest && content.length <= Segment.HEADER_BYTES) {
				delete(file);
				return Optional.empty();
			}
			throw damage("the header of " + file + " is damaged");
		}
		SegmentContent segment = SegmentContent.read(header.get(), content);
		if (segment.damaged() || (!newest && segment.validBytes() < content.length)) {
			throw damage("the record at byte " + segment.validBytes() + " of " + file + " is damaged");
		}
		if (segment.validBytes() < content.length) {
			truncateTornTail(file, segment.validBytes(), content.length);
		}
		if (segment.frames().isEmpty()) {
			delete(file);
			return Optional.empty();
		}
		return Optional.of(segment);
	}

	private void checkSequence(List<SegmentContent> segments) throws IOException {
		for (int i = 1; i < segments.size(); i++) {
			if (segments.get(i).header().firstSequence() != segments.get(i - 1).nextSequence()) {
				throw damage("a segment is missing before record " + segments.get(i).header().firstSequence());
			}
		}
		this.nextSequence = segments.get(segments.size() - 1).nextSequence();
	}

	private List<SegmentContent> fromLogStart(List<SegmentContent> segments) throws IOException {
		for (int i = segments.size() - 1; i >= 0; i--) {
			if (segments.get(i).header().startsLog()) {
				return segments.subList(i, segments.size());
			}
		}
		throw damage("the segment that starts the log is missing");
	}

	private void truncateTornTail(Path file, int validBytes, int length) throws IOException {
		LOG.warn("torn-tail-cut", Field.of("file", file), Field.of("from-byte", validBytes),
				Field.of("bytes", length - validBytes));
		try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
			channel.truncate(validBytes);
			this.fileSync.sync(channel);
		}
	}

	private void delete(Path file) throws IOException {
		Files.delete(file);
		this.folder.syncDirectory();
	}

	private static StorageException damage(String problem) {
		return new StorageException(
				problem + "; nothing was changed: replace this instance by one with an empty folder");
	}

}
