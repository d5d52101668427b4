package org.comfreywall.common.config;

/**
 * Priority classes of requests, highest first; under overload the lowest is shed first.
 */
public enum PriorityClass {

	/** Requests on whose answer a person is waiting. */
	INTERACTIVE,
	/** Requests without special requirements. */
	STANDARD,
	/** Requests that tolerate delay. */
	BATCH

}
