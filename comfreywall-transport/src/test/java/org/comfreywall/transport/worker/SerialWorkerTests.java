package org.comfreywall.transport.worker;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SerialWorker}.
 */
class SerialWorkerTests {

	private static final int CAPACITY = 2;

	private final SerialWorker worker = new SerialWorker("worker", CAPACITY);

	private final CountDownLatch release = new CountDownLatch(1);

	@AfterEach
	void close() {
		this.release.countDown();
		this.worker.close();
	}

	private void fillQueue() throws InterruptedException {
		CountDownLatch blocked = new CountDownLatch(1);
		this.worker.execute(() -> {
			blocked.countDown();
			try {
				this.release.await();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
		blocked.await();
		while (this.worker.offer(() -> {
		})) {
			Thread.onSpinWait();
		}
	}

	@Test
	void runsATaskOnceTheQueueHasRoom() throws Exception {
		fillQueue();
		CountDownLatch ran = new CountDownLatch(1);
		this.worker.executeEventually(ran::countDown);
		assertThat(ran.await(50, TimeUnit.MILLISECONDS)).isFalse();
		this.release.countDown();
		assertThat(ran.await(10, TimeUnit.SECONDS)).isTrue();
	}

	@Test
	void runsADelayedTaskOnceTheQueueHasRoom() throws Exception {
		fillQueue();
		CountDownLatch ran = new CountDownLatch(1);
		this.worker.schedule(Duration.ofMillis(1), ran::countDown);
		assertThat(ran.await(50, TimeUnit.MILLISECONDS)).isFalse();
		this.release.countDown();
		assertThat(ran.await(10, TimeUnit.SECONDS)).isTrue();
	}

	@Test
	void dropsATaskThatStillWaitsWhenItIsClosed() throws Exception {
		fillQueue();
		this.worker.executeEventually(() -> {
			throw new AssertionError("the worker is closed");
		});
		this.release.countDown();
		this.worker.close();
		this.worker.executeEventually(() -> {
			throw new AssertionError("the worker is closed");
		});
		assertThat(this.worker.offer(() -> {
		})).isFalse();
	}

}
