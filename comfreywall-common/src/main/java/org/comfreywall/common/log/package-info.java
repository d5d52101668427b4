/**
 * Structured logs.
 */
package org.comfreywall.common.log;
