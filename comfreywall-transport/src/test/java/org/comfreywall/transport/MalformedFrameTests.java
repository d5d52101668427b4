package org.comfreywall.transport;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.transport.generated.Credit;
import org.comfreywall.transport.generated.Frame;
import org.comfreywall.transport.generated.Hello;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that connections with malformed or unexpected frames are closed.
 */
class MalformedFrameTests {

	private static final int TIMEOUT_MILLIS = 20_000;

	private final ConnectionTimeouts timeouts = new ConnectionTimeouts(Duration.ofSeconds(1), Duration.ofSeconds(30),
			Duration.ofSeconds(60), Duration.ofSeconds(10));

	private final Transport transport = new Transport(new PeerIdentity(InstanceId.of("server"), Incarnation.of(1)),
			this.timeouts, TransportSecurity.PLAIN, 1);

	private final RecordingListener listener = new RecordingListener();

	private TransportServer server;

	@BeforeEach
	void listen() {
		this.server = this.transport.listen(new HostPort("127.0.0.1", 0), this.listener);
	}

	@AfterEach
	void close() {
		this.server.close();
		this.transport.close();
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void randomBytesCloseOnlyTheirOwnConnection(long seed) throws Exception {
		try (Socket good = open(); Socket bad = open()) {
			sendHello(good);
			byte[] malformed = new byte[256];
			new Random(seed).nextBytes(malformed);
			// A length prefix of 100 bytes, so that the bytes contain a whole frame.
			malformed[0] = 0;
			malformed[1] = 0;
			malformed[2] = 0;
			malformed[3] = 100;
			bad.getOutputStream().write(malformed);
			assertThat(isClosedByPeer(bad)).isTrue();
			send(good, Frame.newBuilder().setCredit(Credit.newBuilder().setRequest("r1")).build());
			assertThat(this.listener.frames.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).hasCredit()).isTrue();
		}
	}

	@Test
	void oversizedFrameClosesConnectionBeforeFrameIsRead() throws Exception {
		try (Socket socket = open()) {
			new DataOutputStream(socket.getOutputStream()).writeInt(Integer.MAX_VALUE);
			assertThat(isClosedByPeer(socket)).isTrue();
		}
	}

	@Test
	void unsupportedProtocolVersionIsRejectedWithReason() throws Exception {
		try (Socket socket = open()) {
			send(socket, Frame.newBuilder().setHello(Hello.newBuilder().setVersion(99).setInstance("x")).build());
			assertThat(isClosedByPeer(socket)).isTrue();
			OperationError reason = this.listener.reasons.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
			assertThat(reason.code()).isEqualTo(ErrorCode.MALFORMED);
			assertThat(reason.message()).contains("version 99");
		}
	}

	@Test
	void frameBeforeHelloIsRejected() throws Exception {
		try (Socket socket = open()) {
			send(socket, Frame.newBuilder().setCredit(Credit.getDefaultInstance()).build());
			assertThat(isClosedByPeer(socket)).isTrue();
			assertThat(this.listener.frames).isEmpty();
		}
	}

	private Socket open() throws IOException {
		Socket socket = new Socket("127.0.0.1", this.server.address().port());
		socket.setSoTimeout(TIMEOUT_MILLIS);
		return socket;
	}

	private static void sendHello(Socket socket) throws IOException {
		Hello hello = Hello.newBuilder()
			.setVersion(Transport.PROTOCOL_VERSION)
			.setInstance("client")
			.setIncarnation(1)
			.build();
		send(socket, Frame.newBuilder().setHello(hello).build());
	}

	private static void send(Socket socket, Frame frame) throws IOException {
		DataOutputStream output = new DataOutputStream(socket.getOutputStream());
		output.writeInt(frame.getSerializedSize());
		frame.writeTo(output);
		output.flush();
	}

	private static boolean isClosedByPeer(Socket socket) throws IOException {
		try {
			while (socket.getInputStream().read() >= 0) {
				continue;
			}
			return true;
		}
		catch (SocketTimeoutException ex) {
			return false;
		}
		catch (IOException ex) {
			return true;
		}
	}

	/**
	 * Records received frames and the reasons of closed connections.
	 */
	private static final class RecordingListener implements PeerListener {

		private final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();

		private final BlockingQueue<OperationError> reasons = new LinkedBlockingQueue<>();

		@Override
		public void onFrame(PeerConnection connection, Frame frame) {
			this.frames.add(frame);
		}

		@Override
		public void onClosed(PeerConnection connection, OperationError reason) {
			this.reasons.add(reason);
		}

	}

}
