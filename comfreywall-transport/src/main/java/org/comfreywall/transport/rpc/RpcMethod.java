package org.comfreywall.transport.rpc;

import com.google.protobuf.Message;
import com.google.protobuf.Parser;
import org.comfreywall.common.util.Preconditions;

/**
 * Describes a remote method.
 *
 * @param <Q> the request's type
 * @param <R> the reply's type
 * @param name the method's name on the wire, unique in the system
 * @param requestParser the parser of requests
 * @param replyParser the parser of replies
 */
public record RpcMethod<Q extends Message, R extends Message>(String name, Parser<Q> requestParser,
		Parser<R> replyParser) {

	public RpcMethod {
		Preconditions.notBlank(name, "name");
		Preconditions.notNull(requestParser, "requestParser");
		Preconditions.notNull(replyParser, "replyParser");
	}

}
