package org.comfreywall.gateway.fleet;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;

/**
 * A small text file that is replaced as a whole: after a loss of power it has either its
 * former or its new content.
 */
final class ReplacedFile {

	private final Path folder;

	private final String name;

	ReplacedFile(Path folder, String name) {
		this.folder = folder;
		this.name = name;
	}

	/**
	 * Reads the file.
	 * @return its lines; empty if it does not exist
	 * @throws IOException if it cannot be read
	 */
	List<String> read() throws IOException {
		Path file = this.folder.resolve(this.name);
		return Files.exists(file) ? Files.readAllLines(file) : List.of();
	}

	/**
	 * Replaces the content and returns once it is on disk.
	 * @param lines the lines
	 * @throws IOException if the content may not be on disk
	 */
	void write(List<String> lines) throws IOException {
		// Files with this suffix are deleted when the storage folder is opened.
		Path temporary = this.folder.resolve(this.name + ".tmp");
		String text = String.join("\n", lines) + "\n";
		try (FileChannel channel = FileChannel.open(temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
				StandardOpenOption.TRUNCATE_EXISTING)) {
			ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
			while (bytes.hasRemaining()) {
				channel.write(bytes);
			}
			channel.force(true);
		}
		Files.move(temporary, this.folder.resolve(this.name), StandardCopyOption.ATOMIC_MOVE);
		try (FileChannel channel = FileChannel.open(this.folder, StandardOpenOption.READ)) {
			channel.force(true);
		}
	}

}
