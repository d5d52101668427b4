package org.comfreywall.transport;

import java.util.function.Function;
import java.util.function.Supplier;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.comfreywall.transport.generated.Frame;

/**
 * Sets up the channel pipeline of a connection: security, length-prefixed framing,
 * protobuf and the {@link PeerHandler}.
 */
final class PeerChannelInitializer extends ChannelInitializer<Channel> {

	/** Must exceed the size of a request body, which is sent in a single frame. */
	static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

	private static final int LENGTH_FIELD_BYTES = 4;

	private final Function<Channel, ? extends Iterable<ChannelHandler>> security;

	private final Supplier<PeerHandler> handlers;

	PeerChannelInitializer(Function<Channel, ? extends Iterable<ChannelHandler>> security,
			Supplier<PeerHandler> handlers) {
		this.security = security;
		this.handlers = handlers;
	}

	@Override
	protected void initChannel(Channel channel) {
		ChannelPipeline pipeline = channel.pipeline();
		this.security.apply(channel).forEach(pipeline::addLast);
		pipeline
			.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES));
		pipeline.addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES));
		pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
		pipeline.addLast(new ProtobufEncoder());
		pipeline.addLast(this.handlers.get());
	}

}
