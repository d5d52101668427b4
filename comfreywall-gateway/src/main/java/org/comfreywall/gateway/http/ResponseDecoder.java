package org.comfreywall.gateway.http;

import java.util.function.BooleanSupplier;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses on a connection to a backend server, and closes the connection if
 * bytes arrive that no request awaits. They may be a part of a head, of which no message
 * would tell, and which would become the start of the next response.
 */
final class ResponseDecoder extends HttpResponseDecoder {

	private static final int MAX_HEADER_BYTES = 16 << 10;

	private final BooleanSupplier idle;

	private boolean bodyless;

	private boolean inputEnded;

	private boolean closedHere;

	/**
	 * Creates a decoder.
	 * @param idle returns whether no request awaits a response
	 */
	ResponseDecoder(BooleanSupplier idle) {
		super(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES));
		this.idle = idle;
	}

	/**
	 * Sets the method of the request whose response comes next.
	 * @param method the method; responses to {@code HEAD} have no body
	 */
	void expectResponseTo(HttpMethod method) {
		this.bodyless = method.equals(HttpMethod.HEAD);
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage head) {
		return this.bodyless || super.isContentAlwaysEmpty(head);
	}

	/**
	 * Returns whether bytes were received that are not decoded yet. After the end of a
	 * response they belong to no request.
	 * @return {@code true} if there are such bytes
	 */
	boolean hasRemainder() {
		return actualReadableBytes() > 0;
	}

	/**
	 * Returns whether this process closed the connection, which also ends the message
	 * that is being decoded. The server has not ended it then.
	 * @return {@code true} if the connection was closed and its end was never read
	 */
	boolean isClosedHere() {
		return this.closedHere;
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
		this.inputEnded = this.inputEnded || event instanceof ChannelInputShutdownEvent;
		super.userEventTriggered(context, event);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) throws Exception {
		this.closedHere = !this.inputEnded;
		super.channelInactive(context);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object bytes) throws Exception {
		boolean unexpected = this.idle.getAsBoolean();
		super.channelRead(context, bytes);
		if (unexpected) {
			context.close();
		}
	}

}
