/**
 * The deterministic state machine that applies the entries of the replicated log.
 */
package org.comfreywall.control.state;
