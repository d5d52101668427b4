package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to record.txt, with seconds since the start. */
public final class Journal {

	private final long start = System.nanoTime();

	private final PrintWriter file;

	public Journal(Path folder) {
		try {
			this.file = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	public synchronized void add(String format, Object... args) {
		double seconds = (System.nanoTime() - this.start) / 1e9;
		this.file.println(String.format(Locale.ROOT, "%8.3f  ", seconds) + String.format(Locale.ROOT, format, args));
	}

}
