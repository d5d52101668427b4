package review;

import java.nio.file.Path;

/** Runs a script's case and ends with its exit status: 0, 1, or 2 if it could not run. */
public final class Case {

	private static final int COULD_NOT_RUN = 2;

	private Case() {
	}

	/** What a script does. */
	public interface Body {

		int run(Platform platform, Journal journal, boolean trouble) throws Exception;

	}

	public static void main(String folder, Body body) {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Journal journal = new Journal(Path.of(folder));
		int status = COULD_NOT_RUN;
		try (Platform platform = new Platform(journal)) {
			status = body.run(platform, journal, trouble);
		}
		catch (Throwable ex) {
			status = COULD_NOT_RUN;
			journal.add("the case could not run: %s", ex);
			ex.printStackTrace();
		}
		journal.add("exit status %d", status);
		System.exit(status);
	}

}
