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

	/** Proposes a command to the replicated state machine; handled by the leader. */
	public static final RpcMethod<ProposeRequest, ProposeReply> PROPOSE = new RpcMethod<>("control.propose",
			ProposeRequest.parser(), ProposeReply.parser());

	/** Reads the replicated state; handled by the leader. */
	public static final RpcMethod<QueryRequest, QueryReply> QUERY = new RpcMethod<>("control.query",
			QueryRequest.parser(), QueryReply.parser());

	/** Sends the heartbeat of a process; handled by every control instance. */
	public static final RpcMethod<HeartbeatRequest, HeartbeatReply> HEARTBEAT = new RpcMethod<>("control.heartbeat",
			HeartbeatRequest.parser(), HeartbeatReply.parser());

	/**
	 * Requests a permit to run a request. Until one run with the request's fingerprint
	 * has completed, other requests with that fingerprint wait for a limited time (single
	 * flight). Handled by the control instance that the fingerprint's hash selects.
	 */
	public static final RpcMethod<FlightRequest, FlightReply> REQUEST_FLIGHT_PERMIT = new RpcMethod<>(
			"control.ask-flight", FlightRequest.parser(), FlightReply.parser());

	/** Reports the result of a permitted run; handled by the same instance. */
	public static final RpcMethod<FlightEndRequest, FlightEndReply> REPORT_FLIGHT_END = new RpcMethod<>(
			"control.end-flight", FlightEndRequest.parser(), FlightEndReply.parser());

	/** Requests leases of limits; handled by the leader or by the reserve grantor. */
	public static final RpcMethod<LeaseCall, LeaseReply> LEASE = new RpcMethod<>("control.lease", LeaseCall.parser(),
			LeaseReply.parser());

	/** Requests a sidecar to drain its backend server; handled by the sidecar. */
	public static final RpcMethod<DrainRequest, DrainReply> DRAIN = new RpcMethod<>("sidecar.drain",
			DrainRequest.parser(), DrainReply.parser());

	/** The topic of the replicated log's messages. */
	public static final String LOG_TOPIC = "control.log";

	private ControlMethods() {
	}

}
