package org.comfreywall.gateway.fleet;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.lifecycle.Closer;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.gateway.group.RankReport;
import org.comfreywall.transport.ConnectionTimeouts;
import org.comfreywall.transport.PeerIdentity;
import org.comfreywall.transport.Transport;
import org.comfreywall.transport.TransportSecurity;
import org.comfreywall.transport.TransportServer;
import org.comfreywall.transport.generated.RankNoticeReply;
import org.comfreywall.transport.rpc.RpcServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RankReporter}.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class RankReporterTests {

	private static final RankReport REPORT = new RankReport("10.0.0.1:80", "g", 1, 0, 2, true, 1, 0, 0, 0,
			OptionalLong.empty(), List.of(List.of(0)), 1);

	/** Shorter than the timeout of a report. */
	private static final int WAITING_MILLIS = 90;

	private final Closer closer = new Closer();

	private final AtomicInteger received = new AtomicInteger();

	private HostPort address;

	@BeforeEach
	void open() {
		PeerIdentity self = new PeerIdentity(InstanceId.of("leader"), Incarnation.of(1));
		Transport transport = this.closer
			.register(new Transport(self, ConnectionTimeouts.DEFAULT, TransportSecurity.PLAIN, 1));
		RpcServer server = new RpcServer();
		server.register(RankMethods.RANK, (caller, notice) -> {
			this.received.incrementAndGet();
			return CompletableFuture.completedFuture(Result.success(RankNoticeReply.getDefaultInstance()));
		});
		TransportServer listening = this.closer.register(transport.listen(new HostPort("127.0.0.1", 0), server));
		this.address = listening.address();
	}

	@AfterEach
	void close() throws Exception {
		this.closer.close();
	}

	/**
	 * Replies are handled on the thread that a close waits for. A close that keeps the
	 * reporter locked meanwhile never ends.
	 */
	@Test
	void closesWhileRepliesArrive() throws Exception {
		RankReporter reporter = new RankReporter("rank", List.of(this.address), () -> {
		});
		reportUntilReceived(reporter);
		CompletableFuture<Void> closed = new CompletableFuture<>();
		Thread closing = new Thread(() -> {
			reporter.close();
			closed.complete(null);
		}, "closing");
		closing.setDaemon(true);
		synchronized (reporter) {
			// The reply waits for the lock first, but the thread that waits last gets it
			// first.
			reporter.report("s", REPORT, new int[0]);
			TimeUnit.MILLISECONDS.sleep(WAITING_MILLIS);
			closing.start();
			TimeUnit.MILLISECONDS.sleep(WAITING_MILLIS);
		}
		assertThat(closed).succeedsWithin(Duration.ofSeconds(20));
	}

	private void reportUntilReceived(RankReporter reporter) throws InterruptedException {
		while (this.received.get() == 0) {
			reporter.report("s", REPORT, new int[0]);
			TimeUnit.MILLISECONDS.sleep(5);
		}
	}

	@Test
	void sendsNothingAfterItWasClosed() throws Exception {
		RankReporter reporter = new RankReporter("rank", List.of(this.address), () -> {
		});
		reportUntilReceived(reporter);
		reporter.close();
		int before = this.received.get();
		reporter.report("s", REPORT, new int[0]);
		reporter.close();
		TimeUnit.MILLISECONDS.sleep(200);
		assertThat(this.received.get()).isEqualTo(before);
	}

}
