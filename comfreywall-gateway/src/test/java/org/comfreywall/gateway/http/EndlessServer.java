package org.comfreywall.gateway.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A backend server that begins one response and never ends it: it repeats bytes until its
 * connection is closed.
 */
final class EndlessServer implements AutoCloseable {

	private static final long STANDSTILL_MILLIS = 1000;

	private final ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());

	private final byte[] start;

	private final byte[] repeated;

	private final AtomicLong sent = new AtomicLong();

	private final CountDownLatch closed = new CountDownLatch(1);

	EndlessServer(String start, String repeated) throws IOException {
		this.start = start.getBytes(StandardCharsets.US_ASCII);
		this.repeated = repeated.getBytes(StandardCharsets.US_ASCII);
		Thread thread = new Thread(this::serve, "endless-server");
		thread.setDaemon(true);
		thread.start();
	}

	int port() {
		return this.socket.getLocalPort();
	}

	/**
	 * Waits until nobody takes bytes any more.
	 * @return the number of bytes that were taken
	 */
	long awaitStandstill() throws InterruptedException {
		long before = -1;
		while (before != this.sent.get() || before == 0) {
			before = this.sent.get();
			Thread.sleep(STANDSTILL_MILLIS);
		}
		return before;
	}

	boolean awaitClosed() throws InterruptedException {
		return this.closed.await(10, TimeUnit.SECONDS);
	}

	private void serve() {
		try (Socket connection = this.socket.accept()) {
			connection.getInputStream().read();
			connection.getOutputStream().write(this.start);
			while (true) {
				connection.getOutputStream().write(this.repeated);
				this.sent.addAndGet(this.repeated.length);
			}
		}
		catch (IOException ex) {
			// The connection was closed or the test has ended.
			this.closed.countDown();
		}
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
