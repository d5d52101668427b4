package org.comfreywall.gateway.fleet;

import org.comfreywall.transport.generated.DocumentReply;
import org.comfreywall.transport.generated.DocumentRequest;
import org.comfreywall.transport.generated.FleetNews;
import org.comfreywall.transport.generated.FleetNewsReply;
import org.comfreywall.transport.generated.FoundingReply;
import org.comfreywall.transport.generated.FoundingRequest;
import org.comfreywall.transport.rpc.RpcMethod;

/**
 * RPC methods and topics between the processes of a fleet.
 */
final class FleetMethods {

	/** Sends an update that the receiver acknowledges once it is applied. */
	static final RpcMethod<FleetNews, FleetNewsReply> ACKNOWLEDGED_UPDATE = new RpcMethod<>("fleet.confirm-news",
			FleetNews.parser(), FleetNewsReply.parser());

	/** Queries a newer version of the document. */
	static final RpcMethod<DocumentRequest, DocumentReply> DOCUMENT = new RpcMethod<>("fleet.document",
			DocumentRequest.parser(), DocumentReply.parser());

	/**
	 * Queries the initial voters of the replicated log; only the coordinator of the
	 * bootstrap chooses them.
	 */
	static final RpcMethod<FoundingRequest, FoundingReply> BOOTSTRAP = new RpcMethod<>("fleet.found",
			FoundingRequest.parser(), FoundingReply.parser());

	/** Topic of periodic updates, which are not acknowledged. */
	static final String UPDATE_TOPIC = "fleet.news";

	private FleetMethods() {
	}

}
