package org.comfreywall.control.storage;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.LongStream;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.log.CommandContent;
import org.comfreywall.control.log.Compaction;
import org.comfreywall.control.log.DurableState;
import org.comfreywall.control.log.HardState;
import org.comfreywall.control.log.LogBatch;
import org.comfreywall.control.log.LogEntry;
import org.comfreywall.control.log.LogPosition;
import org.comfreywall.control.log.Membership;
import org.comfreywall.control.log.Snapshot;
import org.comfreywall.control.state.LogTime;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link DiskStorage}.
 */
class DiskStorageTests {

	private static final InstanceId INSTANCE = InstanceId.of("control-1");

	private static final HardState VOTE = new HardState(Term.of(3), Optional.of(INSTANCE));

	@TempDir
	private Path path;

	private long segmentBytes = DiskStorage.DEFAULT_SEGMENT_BYTES;

	private FolderOrigin origin = FolderOrigin.joining(INSTANCE, new Random(1));

	@Test
	void returnsWhatWasSyncedAfterReopening() {
		writeAndClose(1, 3);
		DurableState state = recover();
		assertThat(state.hardState()).isEqualTo(VOTE);
		assertThat(state.entries()).isEqualTo(entries(1, 3));
	}

	@Test
	void keepsItsStorageIdentifier() {
		long first = openAndClose();
		this.origin = FolderOrigin.joining(INSTANCE, new Random(2));
		assertThat(openAndClose()).isEqualTo(first);
	}

	@Test
	void bootstrapFolderStartsWithTheInitialVoters() {
		this.origin = FolderOrigin.founding(INSTANCE, List.of(INSTANCE));
		assertThat(recover().entries()).isEqualTo(this.origin.firstBatch().entries());
	}

	@Test
	void laterEntriesReplaceEarlierOnes() {
		try (DiskStorage storage = open()) {
			storage.write(new LogBatch(Optional.of(VOTE), entries(1, 5)));
			storage.write(new LogBatch(Optional.empty(), List.of(entry(3, 4))));
			storage.sync();
		}
		assertThat(recover().entries()).containsExactly(entry(1, 3), entry(2, 3), entry(3, 4));
	}

	@Test
	void readsEverySegment() {
		this.segmentBytes = 1;
		try (DiskStorage storage = open()) {
			LongStream.rangeClosed(1, 9).forEach((index) -> writeSynced(storage, entries(index, index)));
		}
		assertThat(recover().entries()).isEqualTo(entries(1, 9));
	}

	private long openAndClose() {
		try (DiskStorage storage = open()) {
			return storage.storageId();
		}
	}

	private void writeAndClose(long first, long last) {
		try (DiskStorage storage = open()) {
			LongStream.rangeClosed(first, last).forEach((index) -> writeSynced(storage, entries(index, index)));
		}
	}

	private static void writeSynced(DiskStorage storage, List<LogEntry> entries) {
		assertThat(storage.write(new LogBatch(Optional.of(VOTE), entries))).isEmpty();
		assertThat(storage.sync()).isEmpty();
	}

	private DiskStorage open() {
		return DiskStorage.open(this.path, this.origin, this.segmentBytes).value().orElseThrow();
	}

	private DurableState recover() {
		try (DiskStorage storage = open()) {
			return storage.recovered();
		}
	}

	private String refusal() {
		Result<DiskStorage> result = DiskStorage.open(this.path, this.origin, this.segmentBytes);
		result.value().ifPresent(DiskStorage::close);
		return result.error().orElseThrow().message();
	}

	private List<Path> files(String prefix) throws IOException {
		try (var files = Files.list(this.path)) {
			return files.filter((file) -> file.getFileName().toString().startsWith(prefix)).sorted().toList();
		}
	}

	private Path newestSegment() throws IOException {
		List<Path> segments = files(Segment.PREFIX);
		return segments.get(segments.size() - 1);
	}

	private void flipByte(Path file, long offset) throws IOException {
		try (RandomAccessFile access = new RandomAccessFile(file.toFile(), "rw")) {
			access.seek(offset);
			int value = access.read();
			access.seek(offset);
			access.write(value ^ 1);
		}
	}

	private static List<LogEntry> entries(long first, long last) {
		return LongStream.rangeClosed(first, last).mapToObj((index) -> entry(index, 3)).toList();
	}

	private static LogEntry entry(long index, long term) {
		return new LogEntry(new LogPosition(index, Term.of(term)), LogTime.of(index),
				new CommandContent(Bytes.ofText("command-" + index)));
	}

	private static Compaction compaction(long index, long base, long last) {
		Snapshot snapshot = new Snapshot(new LogPosition(index, Term.of(3)), LogTime.of(index), Membership.EMPTY,
				Bytes.ofText("state"));
		return new Compaction(snapshot, new LogPosition(base, Term.of(3)), VOTE, entries(base + 1, last));
	}

	@Nested
	class TornTail {

		@Test
		void isTruncatedAtEveryLength() throws IOException {
			writeAndClose(1, 3);
			Path segment = newestSegment();
			byte[] whole = Files.readAllBytes(segment);
			for (int length = whole.length - 1; length > whole.length - 40; length--) {
				deleteEmptySegments();
				Files.write(segment, Arrays.copyOf(whole, length));
				assertThat(recover().entries()).isEqualTo(entries(1, 2));
			}
		}

		@Test
		void isTruncatedWhenItsChecksumIsWrong() throws IOException {
			writeAndClose(1, 3);
			Path segment = newestSegment();
			flipByte(segment, Files.size(segment) - 1);
			assertThat(recover().entries()).isEqualTo(entries(1, 2));
		}

		@Test
		void isOverwrittenByLaterRecords() throws IOException {
			writeAndClose(1, 3);
			Path segment = newestSegment();
			flipByte(segment, Files.size(segment) - 1);
			writeAndClose(3, 5);
			assertThat(recover().entries()).isEqualTo(entries(1, 5));
		}

		private void deleteEmptySegments() throws IOException {
			for (Path file : files(Segment.PREFIX)) {
				if (Files.size(file) == Segment.HEADER_BYTES) {
					Files.delete(file);
				}
			}
		}

	}

	@Nested
	class Damage {

		@Test
		void inTheMiddleIsRefused() throws IOException {
			writeAndClose(1, 5);
			Path segment = newestSegment();
			flipByte(segment, Files.size(segment) / 2);
			assertThat(refusal()).contains("is damaged").contains("replace this instance");
		}

		@Test
		void ofAnyByteIsRefusedOrLosesOnlyTheLastRecord() throws IOException {
			writeAndClose(1, 3);
			Path segment = newestSegment();
			byte[] whole = Files.readAllBytes(segment);
			for (int offset = 0; offset < whole.length; offset++) {
				Files.write(segment, whole);
				flipByte(segment, offset);
				Result<DiskStorage> result = DiskStorage.open(DiskStorageTests.this.path, DiskStorageTests.this.origin,
						DiskStorageTests.this.segmentBytes);
				result.value().ifPresent((storage) -> {
					storage.close();
					assertThat(storage.recovered().entries()).isEqualTo(entries(1, 2));
				});
			}
		}

		@Test
		void inAnOlderSegmentIsRefused() throws IOException {
			DiskStorageTests.this.segmentBytes = 1;
			writeAndClose(1, 5);
			Path segment = files(Segment.PREFIX).get(2);
			flipByte(segment, Files.size(segment) - 1);
			assertThat(refusal()).contains("is damaged");
		}

		@Test
		void byAMissingSegmentIsRefused() throws IOException {
			DiskStorageTests.this.segmentBytes = 1;
			writeAndClose(1, 5);
			Files.delete(files(Segment.PREFIX).get(2));
			assertThat(refusal()).contains("segment is missing");
		}

		@Test
		void ofASnapshotIsRefused() throws IOException {
			try (DiskStorage storage = open()) {
				writeSynced(storage, entries(1, 5));
				storage.save(compaction(5, 5, 5));
			}
			flipByte(files("snapshot-").get(0), 20);
			assertThat(refusal()).contains("snapshot").contains("is damaged");
		}

	}

	@Nested
	class Snapshots {

		@Test
		void keepTheEntriesAfterTheirBase() {
			try (DiskStorage storage = open()) {
				writeSynced(storage, entries(1, 8));
				assertThat(storage.save(compaction(6, 4, 8))).isEmpty();
			}
			DurableState state = recover();
			assertThat(state.snapshot()).contains(compaction(6, 4, 8).snapshot());
			assertThat(state.base().index()).isEqualTo(4);
			assertThat(state.entries()).isEqualTo(entries(5, 8));
		}

		@Test
		void surviveACrashBeforeTheLogIsReplaced() throws IOException {
			writeAndClose(1, 3);
			DataFolder folder = DataFolder.lock(DiskStorageTests.this.path, FileSync.FORCE);
			SnapshotFiles.write(folder, compaction(6, 6, 6).snapshot());
			folder.close();
			DurableState state = recover();
			assertThat(state.base().index()).isEqualTo(6);
			assertThat(state.entries()).isEmpty();
		}

		@Test
		void surviveACrashBeforeOldSegmentsAreDeleted() throws IOException {
			writeAndClose(1, 8);
			Path old = newestSegment();
			byte[] content = Files.readAllBytes(old);
			try (DiskStorage storage = open()) {
				storage.save(compaction(6, 4, 8));
			}
			Files.write(old, content);
			assertThat(recover().entries()).isEqualTo(entries(5, 8));
		}

	}

	@Nested
	class Folder {

		@Test
		void isRefusedWhileInUse() {
			DiskStorage first = open();
			assertThat(refusal()).contains("in use by another process");
			first.close();
		}

		@Test
		void ofAnotherInstanceIsRefused() {
			openAndClose();
			DiskStorageTests.this.origin = FolderOrigin.joining(InstanceId.of("control-2"), new Random(1));
			assertThat(refusal()).contains("belongs to instance control-1");
		}

		@Test
		void ofANewerFormatIsRefused() throws IOException {
			openAndClose();
			Path format = DiskStorageTests.this.path.resolve("FORMAT");
			Files.writeString(format, Files.readString(format).replace("version=1", "version=2"));
			assertThat(refusal()).contains("format version 2");
		}

		@Test
		void withFilesButNoFormatIsRefused() throws IOException {
			openAndClose();
			Files.delete(DiskStorageTests.this.path.resolve("FORMAT"));
			assertThat(refusal()).contains("no FORMAT file");
		}

		@Test
		void isRefusedAfterAFailedSync() {
			AtomicBoolean broken = new AtomicBoolean();
			FileSync fileSync = (channel) -> {
				if (broken.get()) {
					throw new IOException("disk error");
				}
			};
			DiskStorage storage = DiskStorage
				.open(DiskStorageTests.this.path, DiskStorageTests.this.origin, 1 << 20, fileSync)
				.value()
				.orElseThrow();
			broken.set(true);
			storage.write(new LogBatch(Optional.of(VOTE), entries(1, 1)));
			assertThat(storage.sync()).isPresent();
			broken.set(false);
			assertThat(storage.sync()).as("a failed sync is not retried").isPresent();
			assertThat(storage.write(new LogBatch(Optional.empty(), entries(2, 2)))).isPresent();
			storage.close();
			assertThat(refusal()).contains("a sync failed");
		}

	}

}
