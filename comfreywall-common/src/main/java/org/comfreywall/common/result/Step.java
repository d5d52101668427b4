package org.comfreywall.common.result;

/**
 * Processing steps in which an error can occur.
 */
public enum Step {

	/** Reading settings. */
	SETTINGS,
	/** Reading the caller's request. */
	ACCEPT,
	/** Authenticating the caller. */
	AUTHENTICATE,
	/** Checking limits and overload. */
	ADMIT,
	/** Claiming an idempotency key. */
	CLAIM,
	/** Choosing a backend server. */
	ROUTE,
	/** Sending the attempt to the sidecar. */
	SEND,
	/** Running the attempt on the backend server. */
	RUN,
	/** Returning the answer to the caller. */
	ANSWER,
	/** Sealing an attempt. */
	SEAL,
	/** Changing the configuration. */
	CONFIGURE,
	/** Replicating the log. */
	REPLICATE,
	/** Reading or writing durable storage. */
	STORE,
	/** Tracking the fleet's members. */
	MEMBERSHIP,
	/** Sending a command to an engine. */
	ORDER,
	/** Planning the placement of experts. */
	PLAN,
	/** Switching the expert map. */
	SWITCH

}
