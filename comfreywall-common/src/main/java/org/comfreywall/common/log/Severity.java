package org.comfreywall.common.log;

/**
 * Severity of a log line, named as the levels of {@code java.util.logging}.
 */
enum Severity {

	FINE, INFO, WARNING, SEVERE

}
