package org.comfreywall.common.result;

/**
 * Steps of processing at which an error can arise.
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
	/** Passing the answer back. */
	ANSWER,
	/** Sealing an attempt. */
	SEAL,
	/** Changing the configuration. */
	CONFIGURE,
	/** Replicating the log. */
	REPLICATE,
	/** Reading or writing durable storage. */
	STORE,
	/** Tracking members. */
	MEMBERSHIP,
	/** Ordering an engine. */
	ORDER,
	/** Planning the placement of experts. */
	PLAN,
	/** Switching the expert map. */
	SWITCH

}
