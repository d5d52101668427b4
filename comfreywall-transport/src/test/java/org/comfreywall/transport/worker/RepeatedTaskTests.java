package org.comfreywall.transport.worker;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RepeatedTask}.
 */
class RepeatedTaskTests {

	private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();

	private final CountDownLatch runs = new CountDownLatch(3);

	@AfterEach
	void close() {
		this.executor.shutdownNow();
	}

	@Test
	void runsAgainAfterAnUnexpectedError() throws Exception {
		RepeatedTask.schedule(this.executor, Duration.ofMillis(5), "failing", () -> {
			this.runs.countDown();
			throw new IllegalStateException("unexpected");
		});
		assertThat(this.runs.await(10, TimeUnit.SECONDS)).isTrue();
	}

	@Test
	void endsWhenItsFutureIsCancelled() throws Exception {
		RepeatedTask.schedule(this.executor, Duration.ofMillis(5), "cancelled", this.runs::countDown).cancel(false);
		TimeUnit.MILLISECONDS.sleep(100);
		assertThat(this.runs.getCount()).isEqualTo(3);
	}

}
