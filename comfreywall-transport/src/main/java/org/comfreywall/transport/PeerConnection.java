package org.comfreywall.transport;

import java.util.Optional;

import io.netty.channel.Channel;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.transport.generated.Frame;

/**
 * An open connection to a peer process.
 */
public final class PeerConnection implements AutoCloseable {

	private final Channel channel;

	private volatile PeerIdentity peer;

	private volatile long lastSentNanos = System.nanoTime();

	PeerConnection(Channel channel) {
		this.channel = channel;
	}

	/**
	 * Sends a frame. Frames sent by one thread arrive in order; a failed write closes the
	 * connection.
	 * @param frame the frame
	 */
	public void send(Frame frame) {
		Preconditions.notNull(frame, "frame");
		this.lastSentNanos = System.nanoTime();
		this.channel.writeAndFlush(frame, this.channel.voidPromise());
	}

	/**
	 * Returns the peer's identity.
	 * @return the identity, or empty until the peer's {@code Hello} has been received
	 */
	public Optional<PeerIdentity> peer() {
		return Optional.ofNullable(this.peer);
	}

	/**
	 * Returns whether the send buffer has room, by Netty's write buffer water marks.
	 * @return {@code true} if more frames may be sent
	 */
	public boolean isWritable() {
		return this.channel.isWritable();
	}

	/**
	 * Closes the connection and notifies the listener.
	 */
	@Override
	public void close() {
		this.channel.close();
	}

	long lastSentNanos() {
		return this.lastSentNanos;
	}

	void setPeer(PeerIdentity identity) {
		this.peer = identity;
	}

	@Override
	public String toString() {
		return this.channel.toString();
	}

}
