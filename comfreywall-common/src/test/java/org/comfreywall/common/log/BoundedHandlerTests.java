package org.comfreywall.common.log;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatNullPointerException;

/**
 * Tests for {@link BoundedHandler}.
 */
@Timeout(60)
class BoundedHandlerTests {

	private static final Formatter MESSAGE_ONLY = new Formatter() {

		@Override
		public String format(LogRecord entry) {
			return entry.getMessage() + "\n";
		}

	};

	private final CountDownLatch printing = new CountDownLatch(1);

	private final CountDownLatch blocked = new CountDownLatch(1);

	private final ByteArrayOutputStream written = new ByteArrayOutputStream();

	private String awaitText(String expected) throws InterruptedException {
		String text = "";
		while (!text.contains(expected)) {
			TimeUnit.MILLISECONDS.sleep(5);
			text = this.written.toString(StandardCharsets.UTF_8);
		}
		return text;
	}

	/**
	 * The writer thread reads the formatter as soon as it starts. If the formatter were
	 * set only afterwards, the first record would end the thread with a
	 * {@code NullPointerException}, and no record would be written.
	 */
	@Test
	void formatterIsSetBeforeTheWriterThreadStarts() throws InterruptedException {
		for (int i = 0; i < 200; i++) {
			BoundedHandler handler = new BoundedHandler(new PrintStream(this.written, true), 8, MESSAGE_ONLY);
			handler.publish(new LogRecord(Level.INFO, "line-" + i));
			assertThat(awaitText("line-" + i)).contains("line-" + i);
		}
	}

	@Test
	void requiresAFormatter() {
		assertThatNullPointerException().isThrownBy(() -> new BoundedHandler(System.out, 8, null));
	}

	@Test
	void dropsAndCountsLinesWhileTheOutputIsBlocked() throws InterruptedException {
		PrintStream slow = new PrintStream(this.written, true) {

			@Override
			public void print(String text) {
				BoundedHandlerTests.this.printing.countDown();
				try {
					BoundedHandlerTests.this.blocked.await();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
				super.print(text);
			}

		};
		BoundedHandler handler = new BoundedHandler(slow, 8, MESSAGE_ONLY);
		handler.publish(new LogRecord(Level.INFO, "line-0"));
		this.printing.await();
		for (int i = 1; i <= 100; i++) {
			handler.publish(new LogRecord(Level.INFO, "line-" + i));
		}
		this.blocked.countDown();
		assertThat(awaitText("log-lines-dropped")).contains("line-0", "line-8", "count=92").doesNotContain("line-9\n");
	}

}
