/**
 * Drives the replicated log and the state machine of one control instance.
 */
package org.comfreywall.control.runtime;
