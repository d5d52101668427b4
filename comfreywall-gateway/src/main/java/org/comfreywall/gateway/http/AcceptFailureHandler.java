package org.comfreywall.gateway.http;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Frees descriptors and pauses when connections cannot be accepted. Without the pause the
 * event loop would try again at once, for ever.
 */
final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {

	private static final long PAUSE_MILLIS = 100;

	private final Gateway gateway;

	AcceptFailureHandler(Gateway gateway) {
		this.gateway = gateway;
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (!(cause instanceof IOException)) {
			context.fireExceptionCaught(cause);
			return;
		}
		this.gateway.log().acceptFailed(cause.getMessage(), this.gateway.openConnections());
		context.channel().config().setAutoRead(false);
		context.executor()
			.schedule(() -> context.channel().config().setAutoRead(true), PAUSE_MILLIS, TimeUnit.MILLISECONDS);
		this.gateway.callers().releaseDescriptors();
	}

}
