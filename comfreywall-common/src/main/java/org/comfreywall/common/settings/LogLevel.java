package org.comfreywall.common.settings;

/**
 * The minimum severity of logged events.
 */
public enum LogLevel {

	/** Every event. */
	DEBUG,
	/** Events of normal operation. */
	INFO,
	/** Events that an operator may have to act on. */
	WARN,
	/** Events that an operator must act on. */
	ERROR

}
