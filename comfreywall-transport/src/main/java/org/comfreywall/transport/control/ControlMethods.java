package org.comfreywall.transport.control;

import org.comfreywall.transport.generated.DrainReply;
import org.comfreywall.transport.generated.DrainRequest;
import org.comfreywall.transport.generated.FlightEndReply;
import org.comfreywall.transport.generated.FlightEndRequest;
import org.comfreywall.transport.generated.FlightReply;
import org.comfreywall.transport.generated.FlightRequest;
import org.comfreywall.transport.generated.HeartbeatReply;
import org.comfreywall.transport.generated.HeartbeatRequest;
import org.comfreywall.transport.generated.LeaseCall;
import org.comfreywall.transport.generated.LeaseReply;
import org.comfreywall.transport.generated.ProposeReply;
import org.comfreywall.transport.generated.ProposeRequest;
import org.comfreywall.transport.generated.QueryReply;
import org.comfreywall.transport.generated.QueryRequest;
import org.comfreywall.transport.rpc.RpcMethod;

/**
 * The methods and topics of control instances and sidecars.
 */
public final class ControlMethods {

	/** Proposes a command of the replicated state machine; answered by the leader. */
	public static final RpcMethod<ProposeRequest, ProposeReply> PROPOSE = new RpcMethod<>("control.propose",
			ProposeRequest.parser(), ProposeReply.parser());

	/** Reads the replicated state; answered by the leader. */
	public static final RpcMethod<QueryRequest, QueryReply> QUERY = new RpcMethod<>("control.query",
			QueryRequest.parser(), QueryReply.parser());

	/** Tells that a process lives; answered by every control instance. */
	public static final RpcMethod<HeartbeatRequest, HeartbeatReply> HEARTBEAT = new RpcMethod<>("control.heartbeat",
			HeartbeatRequest.parser(), HeartbeatReply.parser());

	/** Asks whether a request may run beside others with the same fingerprint. */
	public static final RpcMethod<FlightRequest, FlightReply> ASK_FLIGHT = new RpcMethod<>("control.ask-flight",
			FlightRequest.parser(), FlightReply.parser());

	/** Tells how a run ended that was allowed before. */
	public static final RpcMethod<FlightEndRequest, FlightEndReply> END_FLIGHT = new RpcMethod<>("control.end-flight",
			FlightEndRequest.parser(), FlightEndReply.parser());

	/** Asks for shares of limits; answered by the leader or by the reserve grantor. */
	public static final RpcMethod<LeaseCall, LeaseReply> LEASE = new RpcMethod<>("control.lease", LeaseCall.parser(),
			LeaseReply.parser());

	/** Orders a sidecar to drain its backend server. */
	public static final RpcMethod<DrainRequest, DrainReply> DRAIN = new RpcMethod<>("sidecar.drain",
			DrainRequest.parser(), DrainReply.parser());

	/** The topic of messages of the replicated log. */
	public static final String LOG_TOPIC = "control.log";

	private ControlMethods() {
	}

}
