package org.comfreywall.transport.rpc;

import java.util.concurrent.CompletionStage;

import com.google.protobuf.Message;
import org.comfreywall.common.result.Result;
import org.comfreywall.transport.PeerIdentity;

/**
 * Handles the calls of one method; must not block.
 *
 * @param <Q> the request's type
 * @param <R> the reply's type
 */
@FunctionalInterface
public interface RpcHandler<Q extends Message, R extends Message> {

	/**
	 * Handles a call.
	 * @param caller the identity of the calling process
	 * @param request the request
	 * @return completes with the reply or an error
	 */
	CompletionStage<Result<R>> handle(PeerIdentity caller, Q request);

}
