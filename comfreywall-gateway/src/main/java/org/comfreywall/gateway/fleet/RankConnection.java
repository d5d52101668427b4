package org.comfreywall.gateway.fleet;

import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.transport.Transport;
import org.comfreywall.transport.generated.Call;
import org.comfreywall.transport.generated.Frame;
import org.comfreywall.transport.generated.Hello;

/**
 * A connection of a rank's sidecar to another process of the fleet, on which one thread
 * sends reports and reads replies. It speaks the protocol of {@link Transport} without
 * its threads and libraries, and never waits after it was opened.
 */
final class RankConnection implements AutoCloseable {

	private static final int LENGTH_BYTES = Integer.BYTES;

	private static final int INITIAL_BUFFER_BYTES = 4 << 10;

	/** A reply lists the processes of the fleet. */
	private static final int MAX_FRAME_BYTES = 1 << 20;

	private final SocketChannel channel;

	private ByteBuffer unsent = ByteBuffer.allocate(0);

	private ByteBuffer received = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);

	private long calls;

	private RankConnection(SocketChannel channel) {
		this.channel = channel;
	}

	/**
	 * Opens a connection.
	 * @param address the address of the other process
	 * @param instance the name of this process's instance
	 * @param incarnation this process's incarnation
	 * @param timeout the longest time to wait
	 * @return the connection
	 * @throws IOException if the other process does not accept it in time
	 */
	static RankConnection open(HostPort address, String instance, long incarnation, Duration timeout)
			throws IOException {
		SocketChannel channel = SocketChannel.open();
		try {
			channel.socket().connect(new InetSocketAddress(address.host(), address.port()), (int) timeout.toMillis());
			channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
			channel.configureBlocking(false);
			RankConnection connection = new RankConnection(channel);
			connection.queue(Frame.HELLO_FIELD_NUMBER, hello(instance, incarnation));
			return connection;
		}
		catch (IOException | RuntimeException ex) {
			channel.close();
			throw ex;
		}
	}

	private static byte[] hello(String instance, long incarnation) {
		return MessageBytes.of(64, (out) -> {
			out.writeUInt32(Hello.VERSION_FIELD_NUMBER, Transport.PROTOCOL_VERSION);
			out.writeString(Hello.INSTANCE_FIELD_NUMBER, instance);
			out.writeUInt64(Hello.INCARNATION_FIELD_NUMBER, incarnation);
		});
	}

	/**
	 * Sends a call. What the other process does not take at once is sent by the next
	 * calls of {@link #poll()}.
	 * @param method the name of the method
	 * @param payload the encoded request
	 * @return the number of the call
	 * @throws IOException if the connection has failed
	 */
	long call(String method, byte[] payload) throws IOException {
		long id = ++this.calls;
		queue(Frame.CALL_FIELD_NUMBER, MessageBytes.of(payload.length + 64, (out) -> {
			out.writeUInt64(Call.ID_FIELD_NUMBER, id);
			out.writeString(Call.METHOD_FIELD_NUMBER, method);
			out.writeByteArray(Call.PAYLOAD_FIELD_NUMBER, payload);
		}));
		this.channel.write(this.unsent);
		return id;
	}

	private void queue(int field, byte[] body) {
		byte[] frame = MessageBytes.of(body.length + 16, (out) -> out.writeByteArray(field, body));
		ByteBuffer queued = ByteBuffer.allocate(this.unsent.remaining() + LENGTH_BYTES + frame.length);
		queued.put(this.unsent).putInt(frame.length).put(frame).flip();
		this.unsent = queued;
	}

	/**
	 * Sends what is left of earlier calls and returns the replies that have arrived.
	 * @return the replies, in the order of their arrival
	 * @throws IOException if the connection has failed or the other process does not
	 * speak the protocol
	 */
	List<RankReply> poll() throws IOException {
		if (this.unsent.hasRemaining()) {
			this.channel.write(this.unsent);
		}
		List<RankReply> replies = new ArrayList<>();
		int read = this.channel.read(this.received);
		while (read > 0) {
			this.received.flip();
			for (Optional<byte[]> frame = nextFrame(); frame.isPresent(); frame = nextFrame()) {
				parseReply(frame.get()).ifPresent(replies::add);
			}
			makeRoom();
			read = this.channel.read(this.received);
		}
		if (read < 0) {
			throw new EOFException("the other process has closed the connection");
		}
		return replies;
	}

	private Optional<byte[]> nextFrame() throws IOException {
		if (this.received.remaining() < LENGTH_BYTES) {
			return Optional.empty();
		}
		int length = this.received.getInt(this.received.position());
		if (length < 0 || length > MAX_FRAME_BYTES) {
			throw new IOException("a frame has an invalid length: " + length);
		}
		if (this.received.remaining() < LENGTH_BYTES + length) {
			return Optional.empty();
		}
		byte[] frame = new byte[length];
		this.received.getInt();
		this.received.get(frame);
		return Optional.of(frame);
	}

	// Keeps the start of the next frame.
	private void makeRoom() {
		this.received.compact();
		if (!this.received.hasRemaining()) {
			ByteBuffer larger = ByteBuffer.allocate(2 * this.received.capacity());
			this.received.flip();
			this.received = larger.put(this.received);
		}
	}

	private static Optional<RankReply> parseReply(byte[] frame) throws IOException {
		CodedInputStream in = CodedInputStream.newInstance(frame);
		int tag = in.readTag();
		boolean reply = tag != 0 && WireFormat.getTagFieldNumber(tag) == Frame.REPLY_FIELD_NUMBER
				&& WireFormat.getTagWireType(tag) == WireFormat.WIRETYPE_LENGTH_DELIMITED;
		return reply ? Optional.of(RankReply.parse(CodedInputStream.newInstance(in.readByteArray())))
				: Optional.empty();
	}

	@Override
	public void close() {
		try {
			this.channel.close();
		}
		catch (IOException ex) {
			// Nothing is lost: the connection is given up.
			this.unsent = ByteBuffer.allocate(0);
		}
	}

}
