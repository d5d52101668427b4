package org.comfreywall.common.result;

/**
 * Kinds of errors that an operation can end with.
 */
public enum ErrorCode {

	/** The input is malformed or not allowed. */
	INVALID_INPUT,
	/** The caller's credentials are missing or wrong. */
	UNAUTHENTICATED,
	/** The thing asked for does not exist. */
	NOT_FOUND,
	/** The change expects another state than the present one. */
	CONFLICT,
	/** A limit of the client account is exhausted. */
	LIMIT_EXCEEDED,
	/** Work was shed because of overload. */
	OVERLOADED,
	/** No healthy peer can take the work. */
	UNAVAILABLE,
	/** The deadline passed. */
	DEADLINE_EXCEEDED,
	/** The caller cancelled the work. */
	CANCELLED,
	/** The request is quarantined because it crashed backend servers. */
	QUARANTINED,
	/** The message carries a fencing number, term or incarnation that is too old. */
	FENCED,
	/** The connection to the peer broke or went silent. */
	CONNECTION_LOST,
	/** The backend server reported an error of its own. */
	BACKEND_ERROR,
	/** A message or record could not be decoded. */
	MALFORMED,
	/** Durable storage failed. */
	STORAGE,
	/** An internal invariant was breached and the action refused. */
	INVARIANT

}
