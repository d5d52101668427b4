package org.comfreywall.gateway.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

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
import org.comfreywall.transport.generated.RankNotice;
import org.comfreywall.transport.generated.RankNoticeReply;
import org.comfreywall.transport.rpc.RpcServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RankReporter} against the transport that it reports to.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class RankReporterTests {

	private static final RankReport REPORT = new RankReport("10.0.0.1:80", "g", 1, 0, 2, true, 1, 0, 0, 0,
			OptionalLong.empty(), List.of(List.of(0)), 1);

	/** Longer than a report takes to time out. */
	private static final Duration LONGEST_CALL = Duration.ofMillis(700);

	private static final int[] NO_COUNTS = {};

	private final Closer closer = new Closer();

	@AfterEach
	void close() throws Exception {
		this.closer.close();
	}

	private RankReporter reporter(HostPort... seeds) {
		return this.closer.register(new RankReporter("rank", List.of(seeds)));
	}

	private static void reportOnce(RankReporter reporter, int[] counts) throws InterruptedException {
		reporter.report("s", REPORT, counts);
		while (reporter.isPending()) {
			TimeUnit.MILLISECONDS.sleep(2);
			reporter.poll();
		}
	}

	private static HostPort addressOf(ServerSocket socket) {
		return new HostPort("127.0.0.1", socket.getLocalPort());
	}

	private ServerSocket listen() throws IOException {
		return this.closer.register(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
	}

	@Test
	void sendsEachReportOnOneConnection() throws Exception {
		Process leader = new Process("");
		RankReporter reporter = reporter(leader.address());
		for (int i = 0; i < 20; i++) {
			reportOnce(reporter, new int[] { i, i });
		}
		assertThat(leader.notices).hasSize(20);
		assertThat(leader.notices).allMatch((notice) -> notice.getServer().equals("10.0.0.1:80"));
		assertThat(leader.callers).hasSize(1);
	}

	@Test
	void sendsReportsThatDoNotFitOneSegment() throws Exception {
		Process leader = new Process("");
		RankReporter reporter = reporter(leader.address());
		reportOnce(reporter, new int[500_000]);
		assertThat(leader.notices).singleElement()
			.satisfies((notice) -> assertThat(notice.getChosenCount()).isEqualTo(500_000));
	}

	@Test
	void followsARedirectToTheLeader() throws Exception {
		Process leader = new Process("");
		Process other = new Process(leader.address().toString());
		RankReporter reporter = reporter(other.address());
		reportOnce(reporter, NO_COUNTS);
		reportOnce(reporter, NO_COUNTS);
		assertThat(other.notices).hasSize(1);
		assertThat(leader.notices).hasSize(1);
	}

	@Test
	void reportsAgainAfterTheProcessHasClosedTheConnection() throws Exception {
		Process leader = new Process("");
		RankReporter reporter = reporter(leader.address());
		reportOnce(reporter, NO_COUNTS);
		leader.closeConnections();
		while (leader.notices.size() < 2) {
			reportOnce(reporter, NO_COUNTS);
		}
	}

	@Test
	void sendsNothingAfterItWasClosed() throws Exception {
		Process leader = new Process("");
		RankReporter reporter = reporter(leader.address());
		reportOnce(reporter, NO_COUNTS);
		reporter.close();
		reporter.report("s", REPORT, NO_COUNTS);
		reporter.poll();
		reporter.close();
		TimeUnit.MILLISECONDS.sleep(200);
		assertThat(leader.notices).hasSize(1);
	}

	/**
	 * Processes that do not answer as they should. A rank must neither wait for them nor
	 * stop reporting.
	 */
	@Nested
	class FaultyProcesses {

		private void assertReachesAfter(HostPort faulty) throws Exception {
			Process leader = new Process("");
			RankReporter reporter = reporter(faulty, leader.address());
			while (leader.notices.isEmpty()) {
				long start = System.nanoTime();
				reportOnce(reporter, new int[100_000]);
				assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(LONGEST_CALL);
			}
		}

		@Test
		void refusedConnection() throws Exception {
			HostPort closed;
			try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
				closed = addressOf(socket);
			}
			assertReachesAfter(closed);
		}

		@Test
		void silentAndUnread() throws Exception {
			assertReachesAfter(addressOf(listen()));
		}

		@Test
		void malformedFrames() throws Exception {
			ServerSocket socket = listen();
			Thread thread = new Thread(() -> answer(socket, new byte[] { -1, -1, -1, -1, 0, 0, 0, 9, 1, 2, 3 }));
			thread.setDaemon(true);
			thread.start();
			assertReachesAfter(addressOf(socket));
		}

		@Test
		void malformedMessages() throws Exception {
			ServerSocket socket = listen();
			// A reply whose fields end early.
			byte[] reply = { 0, 0, 0, 5, (byte) 0x8a, 1, 2, 0x12, 0x7f };
			Thread thread = new Thread(() -> answer(socket, reply));
			thread.setDaemon(true);
			thread.start();
			assertReachesAfter(addressOf(socket));
		}

		private void answer(ServerSocket socket, byte[] bytes) {
			try {
				while (true) {
					Socket connection = socket.accept();
					connection.getOutputStream().write(bytes);
				}
			}
			catch (IOException ex) {
				// The test has ended.
				Thread.currentThread().interrupt();
			}
		}

	}

	/** A process that receives reports. */
	private final class Process {

		private final Queue<RankNotice> notices = new ConcurrentLinkedQueue<>();

		private final Queue<PeerIdentity> callers = new ConcurrentLinkedQueue<>();

		private Transport transport;

		private TransportServer server;

		private final RpcServer methods = new RpcServer();

		private Process(String leader) {
			this.methods.register(RankMethods.RANK, (caller, notice) -> {
				this.notices.add(notice);
				if (!this.callers.contains(caller)) {
					this.callers.add(caller);
				}
				return CompletableFuture
					.completedFuture(Result.success(RankNoticeReply.newBuilder().setLeader(leader).build()));
			});
			listen(new HostPort("127.0.0.1", 0));
		}

		private void listen(HostPort address) {
			PeerIdentity self = new PeerIdentity(InstanceId.of("process"), Incarnation.of(1));
			this.transport = RankReporterTests.this.closer
				.register(new Transport(self, ConnectionTimeouts.DEFAULT, TransportSecurity.PLAIN, 1));
			this.server = this.transport.listen(address, this.methods);
		}

		private HostPort address() {
			return this.server.address();
		}

		private void closeConnections() {
			HostPort address = address();
			this.server.close();
			this.transport.close();
			listen(address);
		}

	}

}
