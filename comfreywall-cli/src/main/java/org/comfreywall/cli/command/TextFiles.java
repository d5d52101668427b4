package org.comfreywall.cli.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * Writes text files atomically: a concurrent reader sees either the old or the new text.
 */
public final class TextFiles {

	private TextFiles() {
	}

	/**
	 * Writes a text through a temporary file in the same folder, creating missing
	 * folders.
	 * @param file the file
	 * @param text the text
	 * @throws IOException if the file cannot be written
	 */
	public static void write(Path file, String text) throws IOException {
		Path folder = file.toAbsolutePath().getParent();
		Files.createDirectories(folder);
		Path partial = Files.createTempFile(folder, file.getFileName().toString(), ".partial");
		try {
			Files.writeString(partial, text);
			Files.move(partial, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
		}
		finally {
			Files.deleteIfExists(partial);
		}
	}

}
