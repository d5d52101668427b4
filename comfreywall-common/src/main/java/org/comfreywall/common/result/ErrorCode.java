package org.comfreywall.common.result;

/**
 * Kinds of errors with which an operation can fail.
 */
public enum ErrorCode {

	/** The input is malformed or not allowed. */
	INVALID_INPUT,
	/** The caller's credentials are missing or wrong. */
	UNAUTHENTICATED,
	/** The requested object does not exist. */
	NOT_FOUND,
	/** The change was based on a state other than the current one. */
	CONFLICT,
	/** A limit of the client account is exhausted. */
	LIMIT_EXCEEDED,
	/** The request was shed because of overload. */
	OVERLOADED,
	/** No healthy peer can accept the request. */
	UNAVAILABLE,
	/** The deadline passed. */
	DEADLINE_EXCEEDED,
	/** The caller cancelled the request. */
	CANCELLED,
	/** The request is quarantined because it crashed backend servers. */
	QUARANTINED,
	/** The message carries a fencing number, term or incarnation that is too old. */
	FENCED,
	/** The connection to the peer was closed or timed out. */
	CONNECTION_LOST,
	/** The backend server responded with an error. */
	BACKEND_ERROR,
	/** A message or record could not be decoded. */
	MALFORMED,
	/** Durable storage failed. */
	STORAGE,
	/** The action was rejected because it would violate an internal invariant. */
	INVARIANT

}
