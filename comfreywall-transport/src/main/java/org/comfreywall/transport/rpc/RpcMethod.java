package org.comfreywall.transport.rpc;

import com.google.protobuf.Message;
import com.google.protobuf.Parser;
import org.comfreywall.common.util.Preconditions;

/**
 * Names a method and the types of its request and reply.
 *
 * @param <Q> the request's type
 * @param <R> the reply's type
 * @param name the method's name, unique in the system
 * @param requests decodes requests
 * @param replies decodes replies
 */
public record RpcMethod<Q extends Message, R extends Message>(String name, Parser<Q> requests, Parser<R> replies) {

	public RpcMethod {
		Preconditions.notBlank(name, "name");
		Preconditions.notNull(requests, "requests");
		Preconditions.notNull(replies, "replies");
	}

}
