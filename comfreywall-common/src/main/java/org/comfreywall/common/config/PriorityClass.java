package org.comfreywall.common.config;

/**
 * Priority classes of requests, highest first; under overload the lowest is shed first.
 */
public enum PriorityClass {

	/** A person waits for the answer. */
	INTERACTIVE,
	/** The usual class. */
	STANDARD,
	/** Work that can wait. */
	BATCH

}
