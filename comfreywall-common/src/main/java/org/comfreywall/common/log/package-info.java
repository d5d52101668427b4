/**
 * Structured logging as key=value pairs.
 */
package org.comfreywall.common.log;
