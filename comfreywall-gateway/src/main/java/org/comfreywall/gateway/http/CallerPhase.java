package org.comfreywall.gateway.http;

/**
 * What a connection from a caller is occupied with, in the order in which connections
 * give way.
 */
enum CallerPhase {

	/** No request, or a part of its headers. */
	IDLE,

	/** Responses that the caller has not read; no request is processed. */
	UNREAD,

	/** A body that is being read. */
	BODY,

	/** A body that is being read behind a request that is queued or was sent. */
	PIPELINED_BODY,

	/** A request that is queued or was sent to a backend server. */
	RUNNING

}
