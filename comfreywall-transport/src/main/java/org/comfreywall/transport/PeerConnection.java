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

	PeerConnection(Channel channel) {
		this.channel = channel;
	}

	/**
	 * Sends a frame; frames are delivered in the order in which one thread sends them, or
	 * the connection closes.
	 * @param frame the frame
	 */
	public void send(Frame frame) {
		Preconditions.notNull(frame, "frame");
		this.channel.writeAndFlush(frame, this.channel.voidPromise());
	}

	/**
	 * Returns the peer's identity.
	 * @return the identity, or empty until the peer has greeted
	 */
	public Optional<PeerIdentity> peer() {
		return Optional.ofNullable(this.peer);
	}

	/**
	 * Tells whether the connection's send buffer has room.
	 * @return {@code true} if more may be sent without growing memory
	 */
	public boolean isWritable() {
		return this.channel.isWritable();
	}

	/**
	 * Closes the connection; the listener is told.
	 */
	@Override
	public void close() {
		this.channel.close();
	}

	void identify(PeerIdentity identity) {
		this.peer = identity;
	}

	@Override
	public String toString() {
		return this.channel.toString();
	}

}
