package org.comfreywall.common.settings;

/**
 * The least severe events that are logged.
 */
public enum LogLevel {

	/** Every event. */
	DEBUG,
	/** Events of ordinary operation. */
	INFO,
	/** Events that an operator may have to act on. */
	WARN,
	/** Events that an operator must act on. */
	ERROR

}
