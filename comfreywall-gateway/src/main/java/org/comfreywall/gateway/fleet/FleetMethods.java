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

	/** Requests the configuration document if the receiver has a newer version. */
	static final RpcMethod<DocumentRequest, DocumentReply> DOCUMENT = new RpcMethod<>("fleet.document",
			DocumentRequest.parser(), DocumentReply.parser());

	/**
	 * Requests the initial voters of the replicated log from the bootstrap coordinator,
	 * and registers the sender as a candidate.
	 */
	static final RpcMethod<FoundingRequest, FoundingReply> BOOTSTRAP = new RpcMethod<>("fleet.found",
			FoundingRequest.parser(), FoundingReply.parser());

	/** Topic of periodic updates, which are not acknowledged. */
	static final String UPDATE_TOPIC = "fleet.news";

	private FleetMethods() {
	}

}
