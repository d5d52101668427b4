package org.comfreywall.gateway.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A backend server that sends prepared bytes as responses, one entry per request.
 */
final class ScriptedServer implements AutoCloseable {

	/** Closes the connection at the end of a response. */
	static final String CLOSE = "<close>";

	/** Resets the connection at the end of a response. */
	static final String RESET = "<reset>";

	/** Pauses within a response for a few hundred milliseconds. */
	static final String PAUSE = "<pause>";

	private static final long PAUSE_MILLIS = 250;

	/** Pauses within a response until {@link #resume} is called. */
	static final String WAIT = "<wait>";

	/** Sends no response to the request. */
	static final String SILENT = "<silent>";

	private final ServerSocket socket;

	private final BlockingQueue<String> answers;

	private final List<String> requests = new CopyOnWriteArrayList<>();

	private final BlockingQueue<String> released = new LinkedBlockingQueue<>();

	private final BlockingQueue<String> closed = new LinkedBlockingQueue<>();

	ScriptedServer() throws IOException {
		this(new LinkedBlockingQueue<>());
	}

	// Servers that share a queue send its responses in order, whichever gets the request.
	private ScriptedServer(BlockingQueue<String> answers) throws IOException {
		this.answers = answers;
		this.socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		Thread thread = new Thread(this::accept, "scripted-server");
		thread.setDaemon(true);
		thread.start();
	}

	ScriptedServer withSharedResponses() throws IOException {
		return new ScriptedServer(this.answers);
	}

	int port() {
		return this.socket.getLocalPort();
	}

	/**
	 * Prepares the response to the next request; {@code @id} is replaced by the
	 * identifier of the request.
	 */
	ScriptedServer answer(String bytes) {
		this.answers.add(bytes);
		return this;
	}

	List<String> requests() {
		return this.requests;
	}

	String awaitClosed() throws InterruptedException {
		return this.closed.take();
	}

	private void accept() {
		try {
			while (true) {
				Socket connection = this.socket.accept();
				Thread thread = new Thread(() -> serve(connection), "scripted-connection");
				thread.setDaemon(true);
				thread.start();
			}
		}
		catch (IOException ex) {
			// The test has ended.
			Thread.currentThread().interrupt();
		}
	}

	private void serve(Socket connection) {
		try (connection) {
			InputStream in = connection.getInputStream();
			String request = read(in);
			while (!request.isEmpty()) {
				this.requests.add(request);
				String answer = this.answers.take().replace("@id", header(request, "Request-Id"));
				if (!answer.equals(SILENT)) {
					String bytes = answer.replace(CLOSE, "").replace(RESET, "");
					write(connection, bytes);
					if (answer.endsWith(RESET)) {
						connection.setSoLinger(true, 0);
					}
					if (answer.endsWith(CLOSE) || answer.endsWith(RESET)) {
						return;
					}
				}
				request = read(in);
			}
		}
		catch (IOException | InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.closed.add("closed");
		}
	}

	private void write(Socket connection, String bytes) throws IOException, InterruptedException {
		String[] parts = bytes.split(WAIT);
		for (int i = 0; i < parts.length; i++) {
			if (i > 0) {
				this.released.take();
			}
			String[] pieces = parts[i].split(PAUSE);
			for (int j = 0; j < pieces.length; j++) {
				if (j > 0) {
					TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
				}
				connection.getOutputStream().write(pieces[j].getBytes(StandardCharsets.UTF_8));
				connection.getOutputStream().flush();
			}
		}
	}

	void resume() {
		this.released.add("go on");
	}

	private static String read(InputStream in) throws IOException {
		StringBuilder head = new StringBuilder();
		while (!head.toString().endsWith("\r\n\r\n")) {
			int next = in.read();
			if (next < 0) {
				return "";
			}
			head.append((char) next);
		}
		String length = header(head.toString(), "content-length");
		byte[] body = in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
		return head + new String(body, StandardCharsets.UTF_8);
	}

	static String header(String message, String name) {
		return message.lines()
			.takeWhile((line) -> !line.isEmpty())
			.filter((line) -> line.toLowerCase().startsWith(name.toLowerCase() + ":"))
			.map((line) -> line.substring(name.length() + 1).trim())
			.findFirst()
			.orElse("");
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
