package org.comfreywall.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;

/**
 * Tells a connection from a caller of bytes that are received and of writes, before they
 * are decoded and after they are encoded.
 */
final class CallerTraffic extends ChannelDuplexHandler {

	private final CallerConnection connection;

	CallerTraffic(CallerConnection connection) {
		this.connection = connection;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (message instanceof ByteBuf bytes) {
			this.connection.received(bytes.readableBytes());
		}
		context.fireChannelRead(message);
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		context.fireChannelReadComplete();
		this.connection.updateHeld();
	}

	@Override
	public void flush(ChannelHandlerContext context) {
		context.flush();
		this.connection.updateHeld();
	}

}
