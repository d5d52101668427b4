/**
 * The deterministic state machine fed by the replicated log.
 */
package org.comfreywall.control.state;
