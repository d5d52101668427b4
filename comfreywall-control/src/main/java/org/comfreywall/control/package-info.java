/**
 * Replicated log, state machine, membership and dissemination.
 */
package org.comfreywall.control;
