/**
 * Heartbeats to the control instances, and what their replies bring.
 */
package org.comfreywall.daemon.member;
