package org.comfreywall.gateway.fleet;

import org.comfreywall.transport.generated.RankNotice;
import org.comfreywall.transport.generated.RankNoticeReply;
import org.comfreywall.transport.generated.SwitchNotice;
import org.comfreywall.transport.generated.SwitchNoticeReply;
import org.comfreywall.transport.rpc.RpcMethod;

/**
 * RPC methods about the ranks of a group and its switches.
 */
final class RankMethods {

	/** Name of {@link #RANK}, for callers that do not load its messages. */
	static final String RANK_NAME = "fleet.rank";

	/** Reports the state of a rank's engine to the leader. */
	static final RpcMethod<RankNotice, RankNoticeReply> RANK = new RpcMethod<>(RANK_NAME, RankNotice.parser(),
			RankNoticeReply.parser());

	/**
	 * Delegates a switch to another process, or notifies it that the switch has ended.
	 */
	static final RpcMethod<SwitchNotice, SwitchNoticeReply> SWITCH = new RpcMethod<>("fleet.switch",
			SwitchNotice.parser(), SwitchNoticeReply.parser());

	private RankMethods() {
	}

}
